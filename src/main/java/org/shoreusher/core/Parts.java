package org.shoreusher.core;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.StoreSchema.FinishedRecord;
import org.shoreusher.core.StoreSchema.PartRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.standby.LogStream;
import org.shoreusher.standby.StandbySettings;
import org.shoreusher.wire.FieldMap;

/**
 * Acquires the leadership of shards that have no leader, spreads the leaderships evenly over the
 * nodes, and holds the shards that this node leads.
 */
final class Parts {
    /** What gossip tells about other nodes as candidates for leadership. */
    interface Peers extends Part.Others {
        /**
         * Returns how many peers should be the first to try for a shard without a leader: those
         * that lead fewer shards than this node, or as many and have been up for a shorter time.
         *
         * @param ownedCount how many shards this node leads
         */
        int before(int ownedCount);

        /**
         * Returns whether a peer that has been up for some time leads at least two shards fewer
         * than this node.
         *
         * @param ownedCount how many shards this node leads
         */
        boolean anyWithTwoLess(int ownedCount);
    }

    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final NodeContext context;
    private final String owner;
    private final Peers peers;
    private final AttemptReplicas replicas;
    private final Part[] owned;
    private final int first;
    private final long[] freeSinceMs;
    private long nextDealMs;
    private boolean taking;
    private long nextTakeMs;

    /**
     * Creates the set of shards, none of which this node leads yet.
     *
     * @param count the number of shards
     * @param context the node's shared collaborators
     * @param peers what gossip tells about other nodes
     * @param owner the name of this process, HOST/SUFFIX
     */
    Parts(int count, NodeContext context, Peers peers, String owner) {
        settings = context.settings();
        outbox = context.outbox();
        view = context.view();
        this.context = context;
        this.peers = peers;
        replicas = new AttemptReplicas(context, owner, count);
        owned = new Part[count];
        first =
                (int)
                                settings.members().stream()
                                        .filter(m -> m.host().compareTo(settings.host()) < 0)
                                        .count()
                        % count;
        freeSinceMs = new long[count];
        this.owner = owner;
    }

    /** Returns the shard if this node leads it, or null. */
    Part owned(int n) {
        return n >= 0 && n < owned.length ? owned[n] : null;
    }

    /** Returns how many shards this node leads. */
    int ownedCount() {
        int count = 0;
        for (Part p : owned) {
            count += p != null ? 1 : 0;
        }
        return count;
    }

    /** Returns a shard's record from the store cache, or null if there is none. */
    PartRecord record(int n) {
        StoreView.Entry e = view.get(StoreSchema.part(n));
        return e == null ? null : PartRecord.read(e.value());
    }

    /**
     * Returns the shard to which the hash of an id assigns a machine or job that no record assigns.
     */
    int partOf(String id) {
        return Math.floorMod(id.hashCode(), owned.length);
    }

    /** The number of shards. */
    int count() {
        return owned.length;
    }

    /** The attempt logs that this node receives as a standby. */
    AttemptReplicas replicas() {
        return replicas;
    }

    /**
     * Does the due work of all led shards, and tries for the leadership of at most one shard that
     * has no leader.
     */
    void step() {
        for (int n = 0; n < owned.length; n++) {
            if (owned[n] != null) {
                owned[n].step();
                if (owned[n].unreachable()) {
                    owned[n].release("most of its workers reach others, not this node");
                    nextTakeMs = outbox.now.steadyMs() + Tuning.LEAVE_TO_OTHERS_MS;
                }
                if (owned[n].lost()) {
                    owned[n].replication().close();
                    owned[n] = null;
                }
            }
        }
        dealOut();
        if (!view.loaded()
                || taking
                || view.ageMs() > Tuning.VIEW_STALE_MS
                || outbox.now.steadyMs() < nextTakeMs) {
            return;
        }
        for (int i = 0; i < owned.length && !taking; i++) {
            // Each node begins with a different shard, so that nodes that start together do not
            // compete for the same one.
            int n = (first + i) % owned.length;
            PartRecord record = record(n);
            // An acquisition by this process that got no answer may have been applied; no node acts
            // on that leadership.
            boolean ownTrace = record != null && record.owner().equals(owner);
            if (owned[n] != null
                    || (record != null
                            && !ownTrace
                            && !PartLease.free(settings, record.expiryMs(), outbox.now))) {
                freeSinceMs[n] = 0;
            } else if (freeSinceMs[n] == 0) {
                freeSinceMs[n] = outbox.now.steadyMs();
            }
            // Nodes that lead fewer shards come first, which spreads the shards evenly. Among
            // equals the node that started last comes first: a rolling restart will return to it
            // last.
            if (freeSinceMs[n] > 0 && outbox.now.steadyMs() - freeSinceMs[n] >= pauseMs(record)) {
                take(n, record);
            }
        }
    }

    /**
     * Returns for how many ms this node leaves a shard without a leader to others. The standby that
     * the shard's record names tries first. The other nodes grant it a head start as long as gossip
     * from it arrives; if it has failed unnoticed, no more than the head start is lost.
     */
    private long pauseMs(PartRecord record) {
        String named = record == null ? null : record.standby();
        if (named != null && named.equals(owner)) {
            return 0;
        }
        StandbySettings standby = context.features().standby();
        boolean headStart = named != null && standby != null && peers.up(LogStream.hostOf(named));
        return peers.before(ownedCount()) * Tuning.TAKE_PAUSE_MS
                + (headStart ? standby.headStartMs() : 0);
    }

    /** Steps down from one shard if a peer leads at least two shards fewer. */
    private void dealOut() {
        if (outbox.now.steadyMs() < nextDealMs) {
            return;
        }
        nextDealMs = outbox.now.steadyMs() + Tuning.DEAL_EVERY_MS;
        if (!peers.anyWithTwoLess(ownedCount())) {
            return;
        }
        for (Part part : owned) {
            if (part != null && part.holds() && part.rebuilt()) {
                part.release("for a node that holds fewer");
                return;
            }
        }
    }

    /**
     * Returns the completed tasks in the shard's own record that are in none of its overflow
     * records, split into records of a size that may be written.
     */
    private List<Map<String, Object>> uncovered(int n, PartRecord before) {
        return FinishedRecords.split(before.done(), settings, id -> finishedElsewhere(n, id));
    }

    /**
     * Returns a job's completed tasks that are in overflow records rather than in the shard's own
     * record.
     */
    private BitSet finishedElsewhere(int n, String id) {
        BitSet finished = new BitSet();
        StoreView.Entry entry;
        for (int c = 1; (entry = view.get(StoreSchema.done(n, c))) != null; c++) {
            if (FinishedRecord.read(entry.value()).ranges().get(id) instanceof String ranges) {
                finished.or(TaskRanges.parse(ranges));
            }
        }
        return finished;
    }

    /**
     * Copies completed tasks from a shard's own record into overflow records before the leadership
     * is acquired, if the own record is longer than this version may write. The copies are made
     * from one version of the record, and remain true whichever node becomes the leader.
     */
    private void spill(int n, List<Map<String, Object>> pieces) {
        Map<String, Long> guards =
                new LinkedHashMap<>(Map.of(StoreSchema.part(n), view.version(StoreSchema.part(n))));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        int c = 1;
        while (view.get(StoreSchema.done(n, c)) != null) {
            c++;
        }
        for (int i = 0; i < pieces.size() && i < settings.txnOps(); i++) {
            guards.put(StoreSchema.done(n, c + i), 0L);
            writes.put(StoreSchema.done(n, c + i), new FinishedRecord(pieces.get(i)).write());
        }
        taking =
                outbox.renewal(
                        new StateOp.Multi(guards, writes),
                        reply -> {
                            taking = false;
                            if (reply.status() == 200) {
                                view.applied(reply, writes);
                                nextTakeMs = outbox.now.steadyMs();
                            }
                        });
    }

    private void take(int n, PartRecord before) {
        nextTakeMs = outbox.now.steadyMs() + Tuning.TAKE_PAUSE_MS;
        boolean tooLong =
                before != null
                        && FieldMap.jsonLength(before.write())
                                > settings.valueBytes() * Tuning.RECORD_FILL;
        List<Map<String, Object>> pieces = tooLong ? uncovered(n, before) : List.of();
        if (!pieces.isEmpty()) {
            spill(n, pieces);
            return;
        }
        StoreView.Entry counter = view.get(StoreSchema.TERM);
        long term = 1 + (counter == null ? 0 : ((Number) counter.value().get("term")).longValue());
        ClockReading sentAt = outbox.now;
        AttemptReplicas.Fence replaced = replicas.fence(n);
        PartRecord record =
                new PartRecord(
                        owner,
                        sentAt.wallMs() + PartLease.leaseMs(settings),
                        term,
                        before == null || tooLong ? Map.of() : before.done(),
                        null);
        Map<String, Long> guards = new LinkedHashMap<>();
        guards.put(StoreSchema.part(n), view.version(StoreSchema.part(n)));
        guards.put(StoreSchema.TERM, view.version(StoreSchema.TERM));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put(StoreSchema.part(n), record.write());
        writes.put(StoreSchema.fence(n), Map.of("owner", owner, "term", term));
        writes.put(StoreSchema.TERM, Map.of("term", term));
        taking =
                outbox.renewal(
                        new StateOp.Multi(guards, writes),
                        reply -> {
                            taking = false;
                            if (reply.status() == 200) {
                                long revision = view.applied(reply, writes);
                                PartOwnership ownership =
                                        new PartOwnership(
                                                n, settings, outbox, view, record, sentAt,
                                                revision);
                                taken(n, before, replaced, ownership);
                            } else if (reply.status() == 409) {
                                // Another node acquired this shard, or incremented the term counter
                                // for a different one.
                                nextTakeMs = outbox.now.steadyMs() + Tuning.TAKE_AGAIN_MS;
                            } else if (before != null && before.standby() != null) {
                                // During an outage of the store the standby had no chance either,
                                // so its head start begins again.
                                freeSinceMs[n] = 0;
                            }
                        });
    }

    /** Starts to act as the leader after the store has confirmed the acquisition. */
    private void taken(
            int n, PartRecord before, AttemptReplicas.Fence replaced, PartOwnership ownership) {
        nextTakeMs = outbox.now.steadyMs();
        outbox.log(
                "takeover: part "
                        + n
                        + " term "
                        + ownership.term()
                        + (before == null ? ", new" : " from " + before.owner()));
        String named = before == null ? null : before.standby();
        Inheritance inheritance =
                new Inheritance(
                        replicas.promoted(n, named, replaced),
                        outcome -> replicas.count(n, outcome));
        owned[n] = new Part(n, owned.length, context, peers, ownership, inheritance);
    }

    /**
     * Tells the leadership of a shard that the store cache shows a new record of it.
     *
     * @param n the shard's number
     * @param record the new record
     */
    void recordChanged(int n, PartRecord record) {
        Part part = owned(n);
        if (part != null) {
            part.ownership().recordChanged(record);
        }
    }
}
