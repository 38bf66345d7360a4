package org.shoreusher.core.store;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StoreFormat;

/**
 * This node's cached copy of the key-value store. It is loaded page by page, then kept current by a
 * single watch, and loaded again when the watch has fallen too far behind (status 410). Changes are
 * applied by version, so pages, watch results and this node's own writes may arrive in any order.
 */
public final class StoreCache {
    /** The version of a key that has no value. */
    public static final long ABSENT = 0;

    /** The revision of a cache that is being loaded; lower than any revision of the store. */
    private static final long NO_REVISION = -1;

    /**
     * The value of one key.
     *
     * @param value the stored fields
     * @param version the revision at which the key was last written
     */
    public record Entry(Map<String, Object> value, long version) {}

    /** Receives every change of the cache. */
    public interface Listener {
        /**
         * Called after an entry was added, changed or removed.
         *
         * @param key the key
         * @param before the previous entry; null: there was none
         * @param after the new entry; null: the key was removed
         */
        void onChange(String key, Entry before, Entry after);
    }

    private final Outbox outbox;
    private final Listener listener;
    private final long watchIntervalMs;
    private final TreeMap<String, Entry> entries = new TreeMap<>();

    /** Versions at which keys were removed, kept until the watch has passed them. */
    private final Object2LongOpenHashMap<String> removalVersions = new Object2LongOpenHashMap<>();

    private boolean loading = true;
    private boolean loaded;
    private boolean requestInFlight;
    private PageLoad pageLoad = new PageLoad();
    private long revision;
    private long requiredRevision;
    private long completeAtMs = StoreHealth.NEVER_MS;
    private long nextRequestMs;

    /**
     * Creates an empty cache; {@link #step} loads it.
     *
     * @param outbox sends the calls to the store
     * @param settings the deployment's settings
     * @param listener receives every change
     */
    public StoreCache(Outbox outbox, Settings settings, Listener listener) {
        // A change wakes the watches of all nodes. Under a low rate limit they would use up all
        // calls.
        double callsPerS =
                settings.storeRequestsPerS()
                        * StoreConstants.RATE_LIMIT_USE_SHARE
                        / settings.nodeCount();
        watchIntervalMs =
                Math.max(
                        StoreConstants.MIN_WATCH_INTERVAL_MS,
                        (long) Math.ceil(1000 / (callsPerS * StoreConstants.WATCH_REQUEST_SHARE)));
        this.outbox = outbox;
        this.listener = listener;
    }

    /** Returns whether the cache has been complete once. */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns the revision up to which the cache contains every change; -1 while it is being
     * loaded.
     */
    public long revision() {
        return loading ? NO_REVISION : revision;
    }

    /** Returns the ms since the last moment at which the cache was known to be complete. */
    public long ageMs() {
        return outbox.now().monotonicMs() - completeAtMs;
    }

    /** Returns the entry of a key, or null. */
    public Entry get(String key) {
        return entries.get(key);
    }

    /**
     * Returns the version of a key; 0 if it is absent. This is the form that preconditions have.
     */
    public long version(String key) {
        Entry entry = entries.get(key);
        return entry == null ? ABSENT : entry.version();
    }

    /**
     * Returns whether the cache contains the key, or contained it at a revision that the watch has
     * not passed yet.
     */
    public boolean containsOrRecentlyRemoved(String key) {
        return entries.containsKey(key) || removalVersions.containsKey(key);
    }

    /** Returns the number of keys in memory. */
    public int size() {
        return entries.size();
    }

    /** Returns a live view of the entries whose keys start with a prefix. */
    public SortedMap<String, Entry> entriesWithPrefix(String prefix) {
        return entries.subMap(prefix, prefix + Character.MAX_VALUE);
    }

    /**
     * Applies an entry as read or written. An older version than the known one is dropped.
     *
     * @param key the key
     * @param value the stored fields; null: the key was removed
     * @param version the revision of the change
     */
    public void apply(String key, Map<String, Object> value, long version) {
        Entry before = entries.get(key);
        if ((before != null && before.version() >= version)
                || removalVersions.getLong(key) >= version) {
            return;
        }
        Entry after = value == null ? null : new Entry(value, version);
        if (after == null) {
            entries.remove(key);
            if (version > revision) {
                removalVersions.put(key, version);
            }
        } else {
            entries.put(key, after);
        }
        if (before != null || after != null) {
            listener.onChange(key, before, after);
        }
    }

    /**
     * Applies this node's own successful write.
     *
     * @param reply the store's answer to the write
     * @param writes the values that were written
     * @return the revision at which the store applied the write
     */
    public long applyOwnWrites(StoreReply reply, Map<String, Map<String, Object>> writes) {
        long appliedRevision;
        try {
            appliedRevision = StoreFormat.readRevision(new FieldMap(reply.body()));
        } catch (FieldMap.InvalidFieldException invalid) {
            throw new IllegalStateException(
                    "the key-value store confirmed a write without its revision", invalid);
        }
        writes.forEach((key, value) -> apply(key, value, appliedRevision));
        return appliedRevision;
    }

    /**
     * Removes a key from memory only. A watch may yet deliver changes from before the key's last
     * version; they must not restore the key, or a completed job would count as open.
     */
    public void evict(String key) {
        Entry entry = entries.remove(key);
        if (entry != null && entry.version() > revision) {
            removalVersions.put(key, entry.version());
        }
    }

    /** Requests the next page or the next watch when it is due. */
    public void step() {
        if (requestInFlight || outbox.now().monotonicMs() < nextRequestMs) {
            return;
        }
        long sentAt = outbox.now().monotonicMs();
        StoreOperation operation =
                loading
                        ? new StoreOperation.Page(pageLoad.lastKey())
                        : new StoreOperation.Watch(
                                revision,
                                loaded && revision >= requiredRevision
                                        ? StoreConstants.WATCH_LONG_POLL_MS
                                        : 0);
        requestInFlight =
                outbox.callStore(
                        operation,
                        reply -> {
                            requestInFlight = false;
                            try {
                                onReply(reply, sentAt);
                            } catch (FieldMap.InvalidFieldException invalid) {
                                outbox.log(
                                        LogEvent.of(LogEventType.STORE_REPLY_INVALID)
                                                .with("call", "read_changes")
                                                .with("problem", invalid.getMessage()));
                                scheduleRetry();
                            }
                        });
    }

    private void onReply(StoreReply reply, long sentAt) throws FieldMap.InvalidFieldException {
        if (reply.status() == ReplyStatus.GONE) {
            reload();
        } else if (reply.status() != ReplyStatus.OK) {
            onFailure();
        } else if (loading) {
            onPage(new FieldMap(reply.body()));
        } else {
            onChanges(new FieldMap(reply.body()), sentAt);
        }
    }

    private void onFailure() {
        // An answer that exceeds the size limit fails like a lost one, and would fail each time.
        if (loaded && !loading && ageMs() > StoreConstants.STORE_CACHE_RELOAD_AGE_MS) {
            reload();
        }
        scheduleRetry();
    }

    private void onChanges(FieldMap body, long sentAt) throws FieldMap.InvalidFieldException {
        for (StoreFormat.Entry change : StoreFormat.readChanges(body)) {
            apply(change.key(), change.value(), change.version());
        }
        revision = Math.max(revision, StoreFormat.readRevision(body));
        removalVersions
                .object2LongEntrySet()
                .removeIf(removal -> removal.getLongValue() <= revision);
        if (revision >= requiredRevision) {
            // The answer contains all changes up to the moment of the request, so the cache was
            // complete then.
            completeAtMs = sentAt;
            loaded = true;
        }
        nextRequestMs = outbox.now().monotonicMs() + watchIntervalMs;
    }

    private void onPage(FieldMap body) throws FieldMap.InvalidFieldException {
        if (!pageLoad.add(body)) {
            return;
        }
        PageLoad load = pageLoad;
        pageLoad = new PageLoad();
        removeMissingEntries(load);
        loading = false;
        revision = load.firstRevision();
        requiredRevision = load.lastRevision();
        load.entries().forEach((key, entry) -> apply(key, entry.value(), entry.version()));
    }

    /** Removes entries that had vanished from the store when the first page was read. */
    private void removeMissingEntries(PageLoad load) {
        for (String key : entries.keySet().toArray(new String[0])) {
            if (!load.entries().containsKey(key)
                    && entries.get(key).version() <= load.firstRevision()) {
                Entry before = entries.remove(key);
                listener.onChange(key, before, null);
            }
        }
    }

    private void reload() {
        loading = true;
        pageLoad = new PageLoad();
    }

    private void scheduleRetry() {
        nextRequestMs = outbox.now().monotonicMs() + StoreConstants.STORE_RETRY_MS;
    }
}
