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

/** Takes parts that are free, deals them out evenly, and holds those this node owns. */
final class Parts {
    /** What is known of the other nodes, by hints. */
    interface Peers extends Part.Others {
        /**
         * How many peers should come first to a free part: those that hold fewer, or as many and
         * are younger.
         */
        int before(int ownedCount);

        /** Whether a peer that is there for some time holds at least two parts less. */
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

    /** The part if this node owns it, else null. */
    Part owned(int n) {
        return n >= 0 && n < owned.length ? owned[n] : null;
    }

    int ownedCount() {
        int count = 0;
        for (Part p : owned) {
            count += p != null ? 1 : 0;
        }
        return count;
    }

    /** The record of a part as this node sees it, or null. */
    PartRecord record(int n) {
        StoreView.Entry e = view.get(StoreSchema.part(n));
        return e == null ? null : PartRecord.read(e.value());
    }

    /** Which part takes on a machine or job that nothing else decides about. */
    int partOf(String id) {
        return Math.floorMod(id.hashCode(), owned.length);
    }

    int count() {
        return owned.length;
    }

    /** The logs that this node receives as a standby. */
    AttemptReplicas replicas() {
        return replicas;
    }

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
            // Each node begins with another part, so that they do not race for the same one at a
            // start.
            int n = (first + i) % owned.length;
            PartRecord record = record(n);
            // A takeover of this process that got no answer may have been applied: nobody acts on
            // it.
            boolean ownTrace = record != null && record.owner().equals(owner);
            if (owned[n] != null
                    || (record != null
                            && !ownTrace
                            && !PartLease.free(settings, record.expiryMs(), outbox.now))) {
                freeSinceMs[n] = 0;
            } else if (freeSinceMs[n] == 0) {
                freeSinceMs[n] = outbox.now.steadyMs();
            }
            // Who holds fewer comes first, so that parts spread out; then who is younger, since a
            // rolling restart comes back to that one last.
            if (freeSinceMs[n] > 0 && outbox.now.steadyMs() - freeSinceMs[n] >= pauseMs(record)) {
                take(n, record);
            }
        }
    }

    /**
     * ms that a free part is left to others. Its named standby comes first, and others leave it a
     * head start while it is heard; a standby that is dead costs no more than that.
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

    /** Gives a part up, if another node holds two less. */
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
     * The finished tasks of the part's own record that stand in none of its others, cut into
     * records that may be written.
     */
    private List<Map<String, Object>> uncovered(int n, PartRecord before) {
        return FinishedRecords.split(before.done(), settings, id -> finishedElsewhere(n, id));
    }

    /** The finished tasks of a job that stand in other records than the part's own. */
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
     * Copies the finished tasks in a part's record into further ones before the part is taken, if
     * the record is longer than this version may write it again. The copies are of one version of
     * the record, and true whoever owns the part next.
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
                                // Another took this part, or counted the term up for a different
                                // one.
                                nextTakeMs = outbox.now.steadyMs() + Tuning.TAKE_AGAIN_MS;
                            } else if (before != null && before.standby() != null) {
                                // In an outage the named standby has had no chance either: its head
                                // start begins anew.
                                freeSinceMs[n] = 0;
                            }
                        });
    }

    /** This node has a part from now on. */
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

    /** The view shows a new record of a part. */
    void recordChanged(int n, PartRecord record) {
        Part part = owned(n);
        if (part != null) {
            part.ownership().recordChanged(record);
        }
    }
}
