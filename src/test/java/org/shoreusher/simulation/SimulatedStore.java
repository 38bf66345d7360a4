package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.StoreConstants;
import org.shoreusher.core.store.TokenBucket;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * A simulated key-value store that implements the protocol. Its change log is short, so that
 * watches are also rejected with status 410 (GONE).
 */
final class SimulatedStore {
    /** The host name of the store in the simulated network. */
    static final String HOST = "store";

    private static final int CHANGE_LOG_SIZE = 300;

    /** How many preconditions a transaction may have for each write that is allowed. */
    private static final int PRECONDITIONS_PER_ALLOWED_WRITE = 4;

    /** Keys in a page: few, so that a scan takes several pages and writes come between them. */
    private static final int PAGE_SIZE = 20;

    /** A stored value with its version. */
    private record StoredValue(Map<String, Object> value, long version) {}

    /** A change in the change log; a null value means that the key was removed. */
    private record Change(long revision, String key, Map<String, Object> value) {}

    /** A watch without a reply so far; it gets an empty one at {@code untilMs}. */
    private record PendingWatch(
            StoreOperation.Watch watch, String host, long untilMs, ReplyHandler onReply) {}

    private final ClusterSimulation simulation;
    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final List<Change> changeLog = new ArrayList<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private final Map<String, Long> rejectedUntilMs = new HashMap<>();
    private long revision;
    private long compactedRevision;
    private final Map<String, Long> cacheUpdatesStalledUntilMs = new HashMap<>();
    private long outageUntilMs;
    private long repliesLostUntilMs;
    private int repliesLostPerTen;
    private boolean lostWritesApplyAtOnce;
    private long slowUntilMs;
    private int maxSlowdownMs;

    /** Called for every transaction that has changed something, with the host that sent it. */
    Consumer<String> onWrite = host -> {};

    /** Transactions that got no reply; they were executed at once or late. */
    int repliesLost;

    private Settings limitsInForce;
    private final TokenBucket requestTokens;
    private TokenBucket writeTokens;

    /** Requests of any kind. */
    int requestsHandled;

    /** Requests that were rejected because of the rate limits. */
    int requestsThrottled;

    /** Batch records written; each holds jobs that were accepted in one transaction. */
    int batchedSubmissions;

    SimulatedStore(ClusterSimulation simulation) {
        this.simulation = simulation;
        limitsInForce =
                simulation.previousSettings == null
                        ? simulation.settings
                        : simulation.previousSettings;
        requestTokens =
                new TokenBucket(
                        limitsInForce.storeRequestsPerS(), limitsInForce.storeRequestsPerS());
        writeTokens =
                new TokenBucket(limitsInForce.storeWritesPerS(), limitsInForce.storeWritesPerS());
    }

    void outage(long durationMs) {
        outageUntilMs = simulation.nowMs + durationMs;
    }

    /** Replaces the limits of the previous version by those of the current version. */
    void applyCurrentLimits() {
        limitsInForce = simulation.settings;
        writeTokens =
                new TokenBucket(limitsInForce.storeWritesPerS(), limitsInForce.storeWritesPerS());
    }

    /**
     * Whether a transaction is within the limits in force.
     *
     * @throws AssertionError if a node of the current version exceeds its own limits, which it must
     *     respect from its first write on, even while the larger previous limits are in force
     */
    private boolean isWithinLimits(String host, StoreOperation.CompareAndSwap operation) {
        Settings settings =
                simulation.runsPreviousVersion(host) ? limitsInForce : simulation.settings;
        boolean withinLimits =
                operation.writes().size() <= settings.maxTransactionWrites()
                        && operation.preconditions().size()
                                <= PRECONDITIONS_PER_ALLOWED_WRITE * settings.maxTransactionWrites()
                        && operation.writes().values().stream()
                                .allMatch(
                                        value ->
                                                value == null
                                                        || FieldMap.jsonLength(value)
                                                                <= settings.maxValueBytes());
        if (!withinLimits && !simulation.runsPreviousVersion(host)) {
            throw new AssertionError(
                    "transaction of " + host + " exceeds the limits of its version: " + operation);
        }
        return withinLimits;
    }

    /** Replies with status 503 to one node only. */
    void rejectHost(String host, long durationMs) {
        rejectedUntilMs.put(host, simulation.nowMs + durationMs);
    }

    /**
     * Loses the replies of this number of transactions in ten for a while. The transactions are
     * executed at once, or 2 to 12 s later and so after newer ones.
     */
    void loseReplies(int perTen, boolean atOnce, long durationMs) {
        repliesLostPerTen = perTen;
        lostWritesApplyAtOnce = atOnce;
        repliesLostUntilMs = simulation.nowMs + durationMs;
    }

    /** Delays every reply for a while, each by a random time below this maximum. */
    void slowDown(int maxDelayMs, long durationMs) {
        maxSlowdownMs = maxDelayMs;
        slowUntilMs = simulation.nowMs + durationMs;
    }

    /**
     * Leaves a node's watch and page requests without a reply for a while, so that its store cache
     * lags; all other requests get their replies.
     */
    void stallCacheUpdates(String host, long durationMs) {
        cacheUpdatesStalledUntilMs.put(host, simulation.nowMs + durationMs);
    }

    private boolean isUnavailable(String host) {
        return simulation.nowMs < outageUntilMs
                || simulation.nowMs < rejectedUntilMs.getOrDefault(host, 0L);
    }

    private boolean areCacheUpdatesStalled(String host) {
        return simulation.nowMs < cacheUpdatesStalledUntilMs.getOrDefault(host, 0L);
    }

    /** Stores a value as if it had been written earlier, without a check of the limits. */
    void putDirectly(String key, Map<String, Object> value) {
        revision++;
        values.put(key, new StoredValue(ClusterSimulation.deepCopy(value), revision));
        changeLog.add(new Change(revision, key, value));
    }

    /** All keys with this prefix and their values. */
    Map<String, Map<String, Object>> valuesWithPrefix(String prefix) {
        Map<String, Map<String, Object>> all = new TreeMap<>();
        values.subMap(prefix, prefix + Character.MAX_VALUE)
                .forEach((key, stored) -> all.put(key, stored.value));
        return all;
    }

    /** The length of the longest value as JSON, in bytes. */
    int longestValueBytes() {
        return values.values().stream()
                .mapToInt(stored -> FieldMap.jsonLength(stored.value))
                .max()
                .orElse(0);
    }

    /** The number of keys with this prefix. */
    int countWithPrefix(String prefix) {
        return values.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    /** The version of a key; 0 if the key does not exist. */
    long version(String key) {
        StoredValue stored = values.get(key);
        return stored == null ? 0 : stored.version;
    }

    /** The value of a key; null if the key does not exist. */
    Map<String, Object> value(String key) {
        StoredValue stored = values.get(key);
        return stored == null ? null : stored.value;
    }

    void handle(String host, StoreOperation operation, ReplyHandler onReply) {
        requestsHandled++;
        if (simulation.nowMs < slowUntilMs) {
            ReplyHandler undelayed = onReply;
            onReply =
                    (status, body) ->
                            simulation.scheduleAfter(
                                    simulation.random.nextInt(maxSlowdownMs),
                                    () -> undelayed.accept(status, body));
        }
        execute(host, operation, onReply);
    }

    private void execute(String host, StoreOperation operation, ReplyHandler onReply) {
        if (isUnavailable(host)) {
            onReply.accept(ReplyStatus.SERVICE_UNAVAILABLE, null);
        } else if (operation instanceof StoreOperation.CompareAndSwap swap
                && !isWithinLimits(host, swap)) {
            onReply.accept(ReplyStatus.BAD_REQUEST, null);
        } else if (operation instanceof StoreOperation.Page && areCacheUpdatesStalled(host)) {
            return;
        } else if (operation instanceof StoreOperation.CompareAndSwap swap
                && !swap.writes().isEmpty()
                && simulation.nowMs < repliesLostUntilMs
                && simulation.random.nextInt(10) < repliesLostPerTen) {
            repliesLost++;
            // Without a rate limit, since a rejected transaction could not cause a violation.
            simulation.scheduleAfter(
                    lostWritesApplyAtOnce ? 0 : 2_000 + simulation.random.nextInt(10_000),
                    () -> compareAndSwap(host, swap, (status, body) -> {}));
        } else if (!requestTokens.tryAcquire(1, simulation.nowMs)
                || (operation instanceof StoreOperation.CompareAndSwap swap
                        && !hasWriteTokens(swap.writes().size()))) {
            requestsThrottled++;
            onReply.accept(ReplyStatus.TOO_MANY_REQUESTS, null);
        } else if (operation instanceof StoreOperation.Get get) {
            StoredValue stored = values.get(get.key());
            if (stored == null) {
                onReply.accept(ReplyStatus.NOT_FOUND, Map.of("ledger", revision));
            } else {
                onReply.accept(ReplyStatus.OK, entry(get.key(), stored));
            }
        } else if (operation instanceof StoreOperation.Page page) {
            page(page, onReply);
        } else if (operation instanceof StoreOperation.Watch watch) {
            PendingWatch pending =
                    new PendingWatch(watch, host, simulation.nowMs + watch.blockMs(), onReply);
            if (areCacheUpdatesStalled(host) || !replyToWatch(pending)) {
                pendingWatches.add(pending);
                simulation.scheduleAfter(watch.blockMs(), () -> expireWatch(pending));
            }
        } else {
            compareAndSwap(host, (StoreOperation.CompareAndSwap) operation, onReply);
        }
    }

    /**
     * The bucket holds the tokens of one second, so a transaction of more changes never succeeds.
     */
    private boolean hasWriteTokens(int changes) {
        return changes <= Math.max(1, limitsInForce.storeWritesPerS())
                && writeTokens.tryAcquire(changes, simulation.nowMs);
    }

    private static Map<String, Object> entry(String key, StoredValue stored) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("k", key);
        fields.put("value", stored.value);
        fields.put("stamp", stored.version);
        return fields;
    }

    private void page(StoreOperation.Page page, ReplyHandler onReply) {
        List<Object> entries = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, StoredValue> entry :
                page.afterKey() == null
                        ? values.entrySet()
                        : values.tailMap(page.afterKey(), false).entrySet()) {
            if (entries.size() == PAGE_SIZE) {
                more = true;
                break;
            }
            entries.add(entry(entry.getKey(), entry.getValue()));
        }
        onReply.accept(
                ReplyStatus.OK, Map.of("entries", entries, "more", more, "ledger", revision));
    }

    private void compareAndSwap(
            String host, StoreOperation.CompareAndSwap operation, ReplyHandler onReply) {
        List<Object> failed = new ArrayList<>();
        operation
                .preconditions()
                .forEach(
                        (key, version) -> {
                            StoredValue stored = values.get(key);
                            if ((stored == null ? 0 : stored.version) != version) {
                                failed.add(key);
                            }
                        });
        if (!failed.isEmpty()
                && simulation.injectedDefect
                        != ClusterSimulation.InjectedDefect.PRECONDITIONS_IGNORED) {
            onReply.accept(ReplyStatus.CONFLICT, Map.of("failed", failed, "ledger", revision));
            return;
        }
        if (!operation.writes().isEmpty()) {
            revision++;
            operation
                    .writes()
                    .forEach(
                            (key, value) -> {
                                batchedSubmissions +=
                                        key.startsWith("arrived/") && value != null ? 1 : 0;
                                Map<String, Object> copy = ClusterSimulation.deepCopy(value);
                                if (copy == null) {
                                    values.remove(key);
                                } else {
                                    values.put(key, new StoredValue(copy, revision));
                                }
                                changeLog.add(new Change(revision, key, copy));
                            });
            onWrite.accept(host);
            while (changeLog.size() > CHANGE_LOG_SIZE) {
                compactedRevision = changeLog.remove(0).revision;
            }
            for (PendingWatch pending : new ArrayList<>(pendingWatches)) {
                if (!isUnavailable(pending.host)
                        && !areCacheUpdatesStalled(pending.host)
                        && replyToWatch(pending)) {
                    pendingWatches.remove(pending);
                }
            }
        }
        onReply.accept(ReplyStatus.OK, Map.of("ledger", revision));
    }

    /**
     * Replies if there are changes, the watch has expired, or the changes after the requested
     * revision are no longer in the log; returns whether it replied.
     */
    private boolean replyToWatch(PendingWatch pending) {
        if (pending.watch.afterRevision() < compactedRevision) {
            pending.onReply.accept(ReplyStatus.GONE, null);
            return true;
        }
        List<Object> changes = new ArrayList<>();
        for (Change change : changeLog) {
            if (change.revision > pending.watch.afterRevision()) {
                Map<String, Object> fields = new LinkedHashMap<>();
                fields.put(change.value == null ? "remove" : "write", change.key);
                if (change.value != null) {
                    fields.put("value", change.value);
                }
                fields.put("stamp", change.revision);
                changes.add(fields);
            }
        }
        if (changes.isEmpty() && simulation.nowMs < pending.untilMs) {
            return false;
        }
        pending.onReply.accept(ReplyStatus.OK, Map.of("ledger", revision, "log", changes));
        return true;
    }

    private void expireWatch(PendingWatch pending) {
        if (pendingWatches.contains(pending)) {
            if (isUnavailable(pending.host) || areCacheUpdatesStalled(pending.host)) {
                // Watches stay open during an outage; the caller's timeout ends them.
                simulation.scheduleAfter(
                        StoreConstants.WATCH_LONG_POLL_MS, () -> expireWatch(pending));
            } else {
                pendingWatches.remove(pending);
                replyToWatch(pending);
            }
        }
    }
}
