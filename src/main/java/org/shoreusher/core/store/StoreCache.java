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
 * single watch, and loaded again when the watch has fallen too far behind (status 410) or keeps
 * failing. A change of a key is applied only if its version is higher than the cached one, so
 * pages, watch replies and own writes may arrive in any order.
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

    /** Receives every change of the cache, except evictions. */
    public interface Listener {
        /**
         * Called after an entry was added, changed or removed.
         *
         * @param key the key
         * @param before the previous entry; null if there was none
         * @param after the new entry; null if the key was removed
         */
        void onChange(String key, Entry before, Entry after);
    }

    private final Outbox outbox;
    private final Listener listener;
    private final long watchIntervalMs;
    private final TreeMap<String, Entry> entries = new TreeMap<>();

    /** Versions of removed and evicted keys, kept until {@link #revision} reaches them. */
    private final Object2LongOpenHashMap<String> removalVersions = new Object2LongOpenHashMap<>();

    private boolean loading = true;
    private boolean loaded;
    private boolean callInFlight;
    private PageLoad pageLoad = new PageLoad();
    private long revision;

    /** The revision of the last loaded page, from which on the cache is complete. */
    private long requiredRevision;

    private long completeAtMs = StoreHealth.NEVER_MS;
    private long nextCallMs;

    /**
     * Creates an empty cache; {@link #step} loads it.
     *
     * @param outbox sends the calls to the store
     * @param settings the deployment's settings
     * @param listener receives every change
     */
    public StoreCache(Outbox outbox, Settings settings, Listener listener) {
        // Every change completes the pending watches of all nodes. Without a minimum interval, the
        // watches that follow would use up a low rate limit.
        double callsPerS =
                settings.storeRequestsPerS()
                        * StoreConstants.RATE_LIMIT_USE_SHARE
                        / settings.nodeCount();
        watchIntervalMs =
                Math.max(
                        StoreConstants.MIN_WATCH_INTERVAL_MS,
                        (long) Math.ceil(1000 / (callsPerS * StoreConstants.WATCH_CALL_SHARE)));
        this.outbox = outbox;
        this.listener = listener;
    }

    /** Returns whether the cache has been complete at least once. */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns the revision up to which the cache contains every change, or -1 while it is being
     * loaded.
     */
    public long revision() {
        return loading ? NO_REVISION : revision;
    }

    /** Returns the ms for which changes may be missing; very large until first complete. */
    public long ageMs() {
        return outbox.now().monotonicMs() - completeAtMs;
    }

    /** Returns the entry of a key, or null. */
    public Entry get(String key) {
        return entries.get(key);
    }

    /** Returns the version of a key as preconditions use it: {@link #ABSENT} without an entry. */
    public long version(String key) {
        Entry entry = entries.get(key);
        return entry == null ? ABSENT : entry.version();
    }

    /**
     * Returns whether the cache contains the key, or the key was removed or evicted at a version
     * that {@link #revision} has not reached yet.
     */
    public boolean containsOrRecentlyRemoved(String key) {
        return entries.containsKey(key) || removalVersions.containsKey(key);
    }

    /** Returns the number of entries. */
    public int size() {
        return entries.size();
    }

    /** Returns a live view of the entries whose keys start with a prefix. */
    public SortedMap<String, Entry> entriesWithPrefix(String prefix) {
        return entries.subMap(prefix, prefix + Character.MAX_VALUE);
    }

    /**
     * Applies a change that was read or written. It is ignored unless its version is higher than
     * that of the cached entry or removal.
     *
     * @param key the key
     * @param value the stored fields; null if the key was removed
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
     * @param reply the store's reply to the write
     * @param writes the written values by key; a null value removes the key
     * @return the revision at which the store applied the write
     * @throws IllegalStateException if the reply contains no valid revision
     */
    public long applyOwnWrites(StoreReply reply, Map<String, Map<String, Object>> writes) {
        long appliedRevision;
        try {
            appliedRevision = StoreFormat.readRevision(new FieldMap(reply.body()));
        } catch (FieldMap.InvalidFieldException invalid) {
            throw new IllegalStateException(
                    "the reply of the key-value store to a write has no valid revision", invalid);
        }
        writes.forEach((key, value) -> apply(key, value, appliedRevision));
        return appliedRevision;
    }

    /**
     * Removes a key from the cache only, not from the store. A watch may still deliver changes of
     * the key up to its cached version. They are ignored, because an older one could restore a
     * completed job as open.
     */
    public void evict(String key) {
        Entry entry = entries.remove(key);
        if (entry != null && entry.version() > revision) {
            removalVersions.put(key, entry.version());
        }
    }

    /** Calls the store for the next page or the next watch when it is due. */
    public void step() {
        if (callInFlight || outbox.now().monotonicMs() < nextCallMs) {
            return;
        }
        long sentAtMs = outbox.now().monotonicMs();
        // A cache that has not caught up reads the changes that are available, without waiting.
        boolean caughtUp = loaded && revision >= requiredRevision;
        long blockMs = caughtUp ? StoreConstants.WATCH_LONG_POLL_MS : 0;
        StoreOperation operation =
                loading
                        ? new StoreOperation.Page(pageLoad.lastKey())
                        : new StoreOperation.Watch(revision, blockMs);
        callInFlight =
                outbox.callStore(
                        operation,
                        reply -> {
                            callInFlight = false;
                            try {
                                onReply(reply, sentAtMs);
                            } catch (FieldMap.InvalidFieldException invalid) {
                                outbox.log(
                                        LogEvent.of(LogEventType.STORE_REPLY_INVALID)
                                                .with("call", "read_changes")
                                                .with("problem", invalid.getMessage()));
                                scheduleRetry();
                            }
                        });
    }

    private void onReply(StoreReply reply, long sentAtMs) throws FieldMap.InvalidFieldException {
        if (reply.status() == ReplyStatus.GONE) {
            reload();
        } else if (reply.status() != ReplyStatus.OK) {
            onFailure();
        } else if (loading) {
            onPage(new FieldMap(reply.body()));
        } else {
            onChanges(new FieldMap(reply.body()), sentAtMs);
        }
    }

    private void onFailure() {
        // A reply above the size limit counts as missing. The size of a watch reply is unbounded,
        // so the reply to every retry may exceed the limit too; the size of a page is bounded.
        if (loaded && !loading && ageMs() > StoreConstants.STORE_CACHE_RELOAD_AGE_MS) {
            reload();
        }
        scheduleRetry();
    }

    private void onChanges(FieldMap body, long sentAtMs) throws FieldMap.InvalidFieldException {
        for (StoreFormat.Entry change : StoreFormat.readChanges(body)) {
            apply(change.key(), change.value(), change.version());
        }
        revision = Math.max(revision, StoreFormat.readRevision(body));
        removalVersions
                .object2LongEntrySet()
                .removeIf(removal -> removal.getLongValue() <= revision);
        if (revision >= requiredRevision) {
            // The reply contains every change up to the time of the call, so the cache is
            // complete up to that time.
            completeAtMs = sentAtMs;
            loaded = true;
        }
        nextCallMs = outbox.now().monotonicMs() + watchIntervalMs;
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

    /** Removes entries that the pages lack, unless written after the first page's revision. */
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
        nextCallMs = outbox.now().monotonicMs() + StoreConstants.STORE_RETRY_MS;
    }
}
