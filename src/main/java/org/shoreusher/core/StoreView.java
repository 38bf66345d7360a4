package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.shoreusher.core.Command.StateReply;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StateFormat;

/**
 * This node's view of the store: read once page by page, then kept by one watch, and read again
 * when the watch has fallen too far behind (410). Changes are applied by version, so pages, watches
 * and the node's own writes may come in any order.
 */
final class StoreView {
    /** One key. */
    record Entry(Map<String, Object> value, long version) {}

    /** Told of every change; a null entry: the key is gone. */
    interface Listener {
        void changed(String key, Entry before, Entry after);
    }

    private final Outbox outbox;
    private final Listener listener;
    private final long watchGapMs;
    private final TreeMap<String, Entry> entries = new TreeMap<>();

    /** Versions at which keys were removed, until the watch has passed them. */
    private final Object2LongOpenHashMap<String> removed = new Object2LongOpenHashMap<>();

    private boolean loading = true;
    private boolean loaded;
    private boolean busy;
    private String page;
    private TreeMap<String, Entry> incoming = new TreeMap<>();
    private long startRevision;
    private long revision;
    private long needRevision;
    private long freshAt = Long.MIN_VALUE / 2;
    private long nextAt;

    StoreView(Outbox outbox, Settings settings, Listener listener) {
        // A change wakes the watches of all nodes: where requests are few they would leave none for
        // anything else.
        double share = settings.stateRps() * Tuning.RATE_USE / settings.nodes();
        watchGapMs =
                Math.max(
                        Tuning.WATCH_GAP_MS, (long) Math.ceil(1000 / (share * Tuning.WATCH_SHARE)));
        this.outbox = outbox;
        this.listener = listener;
    }

    /** Whether the view has been complete once. */
    boolean loaded() {
        return loaded;
    }

    /** The revision up to which every change is in the view. */
    long revision() {
        return loading ? -1 : revision;
    }

    /** ms since a moment at which the view was complete. */
    long ageMs() {
        return outbox.now.steadyMs() - freshAt;
    }

    Entry get(String key) {
        return entries.get(key);
    }

    long version(String key) {
        Entry e = entries.get(key);
        return e == null ? 0 : e.version();
    }

    /** Whether the view has the key, or had it at a moment that the watch has yet to pass. */
    boolean hasOrHad(String key) {
        return entries.containsKey(key) || removed.containsKey(key);
    }

    /** Keys in memory. */
    int size() {
        return entries.size();
    }

    /** All keys that begin so. */
    SortedMap<String, Entry> under(String prefix) {
        return entries.subMap(prefix, prefix + Character.MAX_VALUE);
    }

    /** Applies a key as read or written; older news than what is known is dropped. */
    void apply(String key, Map<String, Object> value, long version) {
        Entry before = entries.get(key);
        if ((before != null && before.version() >= version) || removed.getLong(key) >= version) {
            return;
        }
        Entry after = value == null ? null : new Entry(value, version);
        if (after == null) {
            entries.remove(key);
            if (version > revision) {
                removed.put(key, version);
            }
        } else {
            entries.put(key, after);
        }
        if (before != null || after != null) {
            listener.changed(key, before, after);
        }
    }

    /**
     * Puts an own write that succeeded into the view; returns the revision at which it was applied.
     */
    long applied(StateReply reply, Map<String, Map<String, Object>> writes) {
        long at;
        try {
            at = StateFormat.revision(new FieldMap(reply.body()));
        } catch (FieldMap.Missing e) {
            throw new IllegalStateException(
                    "the state service confirmed a write without its revision: " + e.getMessage());
        }
        writes.forEach((key, value) -> apply(key, value, at));
        return at;
    }

    /**
     * Drops a key from memory. News from before its last version, which a watch may yet bring, must
     * not bring it back: a done job would be taken for an open one.
     */
    void evict(String key) {
        Entry e = entries.remove(key);
        if (e != null && e.version() > revision) {
            removed.put(key, e.version());
        }
    }

    /** Issues the next page or watch when it is due. */
    void step() {
        if (busy || outbox.now.steadyMs() < nextAt) {
            return;
        }
        long sentAt = outbox.now.steadyMs();
        StateOp op =
                loading
                        ? new StateOp.Page(page)
                        : new StateOp.Watch(
                                revision,
                                loaded && revision >= needRevision ? Tuning.WATCH_BLOCK_MS : 0);
        busy =
                outbox.state(
                        op,
                        reply -> {
                            busy = false;
                            try {
                                replied(reply, sentAt);
                            } catch (FieldMap.Missing e) {
                                outbox.log("state: answer not understood: " + e.getMessage());
                                retry();
                            }
                        });
    }

    private void replied(StateReply reply, long sentAt) throws FieldMap.Missing {
        if (reply.status() == 410) {
            reload();
            return;
        }
        if (reply.status() != 200) {
            // An answer that is too long fails like one that is lost, and would fail for ever.
            if (loaded && !loading && ageMs() > Tuning.RELOAD_AFTER_MS) {
                reload();
            }
            retry();
            return;
        }
        FieldMap body = new FieldMap(reply.body());
        if (loading) {
            paged(body);
            return;
        }
        for (StateFormat.Entry change : StateFormat.changes(body)) {
            apply(change.key(), change.value(), change.version());
        }
        revision = Math.max(revision, StateFormat.revision(body));
        removed.object2LongEntrySet().removeIf(e -> e.getLongValue() <= revision);
        if (revision >= needRevision) {
            // The answer holds all changes up to its sending, so the view was complete when asked
            // for.
            freshAt = sentAt;
            loaded = true;
        }
        nextAt = outbox.now.steadyMs() + watchGapMs;
    }

    private void paged(FieldMap body) throws FieldMap.Missing {
        long at = StateFormat.revision(body);
        if (page == null) {
            startRevision = at;
        }
        for (StateFormat.Entry e : StateFormat.page(body)) {
            incoming.put(e.key(), new Entry(e.value(), e.version()));
            page = e.key();
        }
        if (StateFormat.more(body) && page != null) {
            return;
        }
        // Pages are from different moments: watching on from the first page's revision repairs
        // that.
        for (String key : entries.keySet().toArray(new String[0])) {
            if (!incoming.containsKey(key) && entries.get(key).version() <= startRevision) {
                Entry before = entries.remove(key);
                listener.changed(key, before, null);
            }
        }
        TreeMap<String, Entry> all = incoming;
        incoming = new TreeMap<>();
        loading = false;
        revision = startRevision;
        needRevision = at;
        all.forEach((key, e) -> apply(key, e.value(), e.version()));
    }

    private void reload() {
        loading = true;
        page = null;
        incoming = new TreeMap<>();
    }

    private void retry() {
        nextAt = outbox.now.steadyMs() + Tuning.STATE_RETRY_MS;
    }
}
