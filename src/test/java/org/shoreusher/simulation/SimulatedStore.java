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
 * A simulated key-value store that follows the protocol. It keeps few changes, so that 410
 * responses occur.
 */
final class SimulatedStore {
    private static final int CHANGE_LOG_SIZE = 300;

    /** A stored value with its version. */
    private record StoredValue(Map<String, Object> value, long version) {}

    /** A change in the log; a null value means that the key was removed. */
    private record Change(long revision, String key, Map<String, Object> value) {}

    /** An open watch. */
    private record PendingWatch(
            StoreOperation.Watch watch, String host, long untilMs, ReplyHandler reply) {}

    private final ClusterSimulation simulation;
    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final List<Change> changeLog = new ArrayList<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private final Map<String, Long> refusedUntilMs = new HashMap<>();
    private long revision;
    private long compactedRevision;
    private final Map<String, Long> cacheUpdatesStalledUntilMs = new HashMap<>();
    private long outageUntilMs;
    private long responsesLostUntilMs;
    private int responsesLostOfTen;
    private boolean lostWritesApplyAtOnce;
    private long slowUntilMs;
    private int maxSlowdownMs;

    /** Called for every transaction that has changed something, with the host that sent it. */
    Consumer<String> onWrite = host -> {};

    /** Transactions that got no response: executed at once, or late. */
    int responsesLost;

    private Settings limitsInForce;
    private final TokenBucket requestTokens;
    private TokenBucket writeTokens;

    /** Requests of any kind. */
    int requestsHandled;

    /** Requests that were refused because of the rate limits. */
    int requestsThrottled;

    /** Batch records written, which hold jobs that were accepted together. */
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

    /** The current version's limits come into force. */
    void applyCurrentLimits() {
        limitsInForce = simulation.settings;
        writeTokens =
                new TokenBucket(limitsInForce.storeWritesPerS(), limitsInForce.storeWritesPerS());
    }

    /**
     * Whether a transaction respects the limits. The current version respects its limits from its
     * first write, whatever is in force.
     */
    private boolean isWithinLimits(String host, StoreOperation.CompareAndSwap operation) {
        Settings settings =
                simulation.runsPreviousVersion(host) ? limitsInForce : simulation.settings;
        boolean accepted =
                operation.writes().size() <= settings.maxTransactionWrites()
                        && operation.preconditions().size() <= 4 * settings.maxTransactionWrites()
                        && operation.writes().values().stream()
                                .allMatch(
                                        value ->
                                                value == null
                                                        || FieldMap.jsonLength(value)
                                                                <= settings.maxValueBytes());
        if (!accepted && !simulation.runsPreviousVersion(host)) {
            throw new AssertionError("transaction of " + host + " above its limits: " + operation);
        }
        return accepted;
    }

    /** Refuses one node alone. */
    void refuseHost(String host, long durationMs) {
        refusedUntilMs.put(host, simulation.nowMs + durationMs);
    }

    /**
     * This number of transactions in ten gets no response for a while. They are executed at once,
     * or 2 to 12 s later, after newer ones.
     */
    void loseResponses(int ofTen, boolean atOnce, long durationMs) {
        responsesLostOfTen = ofTen;
        lostWritesApplyAtOnce = atOnce;
        responsesLostUntilMs = simulation.nowMs + durationMs;
    }

    /** Responses are delayed for a while, each by up to this number of ms. */
    void slowDown(int byMs, long durationMs) {
        maxSlowdownMs = byMs;
        slowUntilMs = simulation.nowMs + durationMs;
    }

    /**
     * A node's watch and page requests get no response for a while, though all other requests do.
     */
    void stallCacheUpdates(String host, long durationMs) {
        cacheUpdatesStalledUntilMs.put(host, simulation.nowMs + durationMs);
    }

    private boolean isUnavailable(String host) {
        return simulation.nowMs < outageUntilMs
                || simulation.nowMs < refusedUntilMs.getOrDefault(host, 0L);
    }

    private boolean areCacheUpdatesStalled(String host) {
        return simulation.nowMs < cacheUpdatesStalledUntilMs.getOrDefault(host, 0L);
    }

    /** Stores a value that was there before, whatever the current limits. */
    void putDirectly(String key, Map<String, Object> value) {
        revision++;
        values.put(key, new StoredValue(ClusterSimulation.deepCopy(value), revision));
        changeLog.add(new Change(revision, key, value));
    }

    /** All keys with this prefix, with their values. */
    Map<String, Map<String, Object>> valuesWithPrefix(String prefix) {
        Map<String, Map<String, Object>> all = new TreeMap<>();
        values.subMap(prefix, prefix + Character.MAX_VALUE)
                .forEach((key, item) -> all.put(key, item.value));
        return all;
    }

    /** The length of the longest value in bytes. */
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

    /** The version of a key; 0 if there is none. */
    long version(String key) {
        StoredValue stored = values.get(key);
        return stored == null ? 0 : stored.version;
    }

    Map<String, Object> value(String key) {
        StoredValue stored = values.get(key);
        return stored == null ? null : stored.value;
    }

    void handle(String host, StoreOperation operation, ReplyHandler reply) {
        requestsHandled++;
        if (simulation.nowMs < slowUntilMs) {
            ReplyHandler quick = reply;
            reply =
                    (status, body) ->
                            simulation.scheduleAfter(
                                    simulation.random.nextInt(maxSlowdownMs),
                                    () -> quick.respond(status, body));
        }
        respond(host, operation, reply);
    }

    private void respond(String host, StoreOperation operation, ReplyHandler reply) {
        if (isUnavailable(host)) {
            reply.respond(ReplyStatus.SERVICE_UNAVAILABLE, null);
        } else if (operation instanceof StoreOperation.CompareAndSwap swap
                && !isWithinLimits(host, swap)) {
            reply.respond(400, null);
        } else if (operation instanceof StoreOperation.Page && areCacheUpdatesStalled(host)) {
            return;
        } else if (operation instanceof StoreOperation.CompareAndSwap swap
                && !swap.writes().isEmpty()
                && simulation.nowMs < responsesLostUntilMs
                && simulation.random.nextInt(10) < responsesLostOfTen) {
            responsesLost++;
            // Regardless of the rate limits: only an execution may do harm.
            simulation.scheduleAfter(
                    lostWritesApplyAtOnce ? 0 : 2_000 + simulation.random.nextInt(10_000),
                    () -> compareAndSwap(host, swap, (status, body) -> {}));
        } else if (!requestTokens.tryAcquire(1, simulation.nowMs)
                || (operation instanceof StoreOperation.CompareAndSwap swap
                        && !hasWriteTokens(swap.writes().size()))) {
            requestsThrottled++;
            reply.respond(ReplyStatus.TOO_MANY_REQUESTS, null);
        } else if (operation instanceof StoreOperation.Get get) {
            StoredValue stored = values.get(get.key());
            if (stored == null) {
                reply.respond(ReplyStatus.NOT_FOUND, Map.of("ledger", revision));
            } else {
                reply.respond(ReplyStatus.OK, entry(get.key(), stored));
            }
        } else if (operation instanceof StoreOperation.Page page) {
            page(page, reply);
        } else if (operation instanceof StoreOperation.Watch watch) {
            PendingWatch pending =
                    new PendingWatch(watch, host, simulation.nowMs + watch.blockMs(), reply);
            if (areCacheUpdatesStalled(host) || !respond(pending)) {
                pendingWatches.add(pending);
                simulation.scheduleAfter(watch.blockMs(), () -> expireWatch(pending));
            }
        } else {
            compareAndSwap(host, (StoreOperation.CompareAndSwap) operation, reply);
        }
    }

    /** A burst is worth one second, so a transaction of more changes never succeeds. */
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

    private void page(StoreOperation.Page page, ReplyHandler reply) {
        List<Object> entries = new ArrayList<>();
        boolean more = false;
        // Pages of 20 keys, so that every reading takes several and other writes come between.
        for (Map.Entry<String, StoredValue> entry :
                page.afterKey() == null
                        ? values.entrySet()
                        : values.tailMap(page.afterKey(), false).entrySet()) {
            if (entries.size() == 20) {
                more = true;
                break;
            }
            entries.add(entry(entry.getKey(), entry.getValue()));
        }
        reply.respond(ReplyStatus.OK, Map.of("entries", entries, "more", more, "ledger", revision));
    }

    private void compareAndSwap(
            String host, StoreOperation.CompareAndSwap operation, ReplyHandler reply) {
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
            reply.respond(ReplyStatus.CONFLICT, Map.of("failed", failed, "ledger", revision));
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
                        && respond(pending)) {
                    pendingWatches.remove(pending);
                }
            }
        }
        reply.respond(ReplyStatus.OK, Map.of("ledger", revision));
    }

    private boolean respond(PendingWatch pending) {
        if (pending.watch.afterRevision() < compactedRevision) {
            pending.reply.respond(ReplyStatus.GONE, null);
            return true;
        }
        List<Object> log = new ArrayList<>();
        for (Change change : changeLog) {
            if (change.revision > pending.watch.afterRevision()) {
                Map<String, Object> fields = new LinkedHashMap<>();
                fields.put(change.value == null ? "remove" : "write", change.key);
                if (change.value != null) {
                    fields.put("value", change.value);
                }
                fields.put("stamp", change.revision);
                log.add(fields);
            }
        }
        if (log.isEmpty() && simulation.nowMs < pending.untilMs) {
            return false;
        }
        pending.reply.respond(ReplyStatus.OK, Map.of("ledger", revision, "log", log));
        return true;
    }

    private void expireWatch(PendingWatch pending) {
        if (pendingWatches.contains(pending)) {
            if (isUnavailable(pending.host) || areCacheUpdatesStalled(pending.host)) {
                // Open watches stay open during an outage; the caller's timeout comes first.
                simulation.scheduleAfter(
                        StoreConstants.WATCH_LONG_POLL_MS, () -> expireWatch(pending));
            } else {
                pendingWatches.remove(pending);
                respond(pending);
            }
        }
    }
}
