package org.shoreusher.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.shoreusher.core.Command.StateReply;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.StoreSchema.FinishedRecord;
import org.shoreusher.core.StoreSchema.PartRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.StateFormat;

/**
 * The leadership of one shard: its lease, its term, and the fencing precondition of every write for
 * the shard. Leadership that is lost never returns; a node that acquires the shard again gets a new
 * instance.
 *
 * <p>The fencing key of a shard is written only when its leader changes. Each write has the key's
 * version as a precondition, so the writes of a previous leader fail, however late they arrive.
 */
final class PartOwnership {
    private final int partNumber;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final String owner;
    private final PartLease lease;
    private final NamedStandby standby = new NamedStandby();
    private final long fenceVersion;
    private final long takenAtMs;
    private final long takenTerm;
    private long sinceMs;
    private long recordVersion;
    private long term;
    private boolean lost;
    private boolean renewing;
    private boolean lapsedLogged;

    /** The revision that the store cache must reach after the last lease expiry; 0: it has. */
    private long viewNeeded;

    private long nextRenewMs;

    /** The last chunk of completed tasks that was written. */
    private int lastChunk;

    /**
     * Creates the leadership after the store has confirmed the acquisition.
     *
     * @param partNumber the shard's number
     * @param settings the deployment's settings
     * @param outbox sends the calls to the store
     * @param view the store cache
     * @param record the shard's record as written by the acquisition
     * @param writtenAt the clocks when the acquisition was sent
     * @param version the revision at which the store applied it
     */
    PartOwnership(
            int partNumber,
            Settings settings,
            Outbox outbox,
            StoreView view,
            PartRecord record,
            ClockReading writtenAt,
            long version) {
        this.partNumber = partNumber;
        this.settings = settings;
        this.outbox = outbox;
        this.view = view;
        owner = record.owner();
        term = record.term();
        takenTerm = term;
        fenceVersion = version;
        recordVersion = version;
        takenAtMs = outbox.now.steadyMs();
        sinceMs = takenAtMs;
        lease = new PartLease(settings);
        lease.confirmed(record.expiryMs(), writtenAt);
        nextRenewMs = writtenAt.steadyMs() + PartLease.heartbeatMs(settings);
    }

    /** The name of the leading process, HOST/SUFFIX. */
    String owner() {
        return owner;
    }

    /** Returns whether the leadership has ended for good. */
    boolean lost() {
        return lost;
    }

    /**
     * Has the shard's record name a standby as soon as possible.
     *
     * @param process the standby's process name; null: none
     */
    void nameStandby(String process) {
        standby.want(process);
        nextRenewMs = Math.min(nextRenewMs, outbox.now.steadyMs());
    }

    /** Returns whether the record names no standby and no write in flight can still name one. */
    boolean surelyNoStandby() {
        return standby.surelyNone();
    }

    /**
     * Returns whether this node is the leader and its lease is valid, so that it may give orders
     * and change the stored state.
     */
    boolean holds() {
        return !lost && lease.holds(outbox.now);
    }

    /**
     * Returns whether heartbeats may be answered without orders, which extends the leases of the
     * workers: while the lease is valid and for a grace period after its expiry.
     */
    boolean keepsAlive() {
        return !lost && lease.keepsAlive(outbox.now);
    }

    /**
     * The leader's current term, which workers receive as the fencing token. It starts at the
     * acquisition's term and can be raised.
     */
    long term() {
        return term;
    }

    /**
     * The term of the acquisition. A worker that has seen it, or a higher one, has been answered by
     * this leader.
     */
    long takenTerm() {
        return takenTerm;
    }

    /**
     * The revision of the acquisition. A store cache that has reached it shows all writes of
     * previous leaders.
     */
    long takenRevision() {
        return fenceVersion;
    }

    /** The monotonic time in ms since which the lease has been valid without interruption. */
    long sinceMs() {
        return sinceMs;
    }

    /** The monotonic time in ms at which the acquisition was confirmed. */
    long takenAtMs() {
        return takenAtMs;
    }

    /** Returns the precondition that fails after a later leadership change. */
    Map<String, Long> fence() {
        return Map.of(StoreSchema.fence(partNumber), fenceVersion);
    }

    /**
     * Returns whether the store cache shows everything that was written before the renewal that
     * ended the last lease expiry.
     */
    boolean viewComplete() {
        if (viewNeeded > 0 && view.revision() >= viewNeeded) {
            viewNeeded = 0;
        }
        return viewNeeded == 0;
    }

    /** Logs an expiry of the lease, once. */
    void watchLapse() {
        if (!holds() && !lost && !lapsedLogged) {
            lapsedLogged = true;
            outbox.log(
                    "lapse: part " + partNumber + " term " + term + ", lease not renewed in time");
        }
    }

    /**
     * Renews the lease when that is due. The same write stores completed tasks and the name of the
     * standby.
     *
     * @param finished supplies the completion records to write; supplies null as long as they are
     *     not loaded
     */
    void heartbeat(Supplier<FinishedRecords> finished) {
        if (renewing || outbox.now.steadyMs() < nextRenewMs) {
            return;
        }
        ClockReading sentAt = outbox.now;
        long expiry = Math.max(lease.expiryWallMs(), sentAt.wallMs() + PartLease.leaseMs(settings));
        FinishedRecords records = finished.get();
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        PartRecord record =
                new PartRecord(
                        owner,
                        expiry,
                        term,
                        records == null ? doneInStore() : records.chunk(0),
                        standby.wanted());
        writes.put(StoreSchema.part(partNumber), record.write());
        // The chunks take turns: with many jobs every chunk changes between renewals, and the last
        // ones must become durable as well.
        int spilled = records == null ? 0 : records.chunks() - 1;
        int from = lastChunk;
        for (int i = 1;
                i <= spilled && writes.size() < Math.min(settings.txnOps(), Tuning.RECORDS_AT_ONCE);
                i++) {
            int c = 1 + (from + i - 1) % spilled;
            Map<String, Object> done = records.chunk(c);
            if (!done.equals(storedDone(c)) || view.get(StoreSchema.done(partNumber, c)) == null) {
                writes.put(StoreSchema.done(partNumber, c), new FinishedRecord(done).write());
                lastChunk = c;
            }
        }
        standby.sending(record.standby());
        renewing =
                outbox.renewal(
                        new StateOp.Multi(
                                guards(StoreSchema.part(partNumber), recordVersion), writes),
                        reply -> {
                            renewing = false;
                            renewed(reply, record, sentAt, records, writes);
                        });
    }

    /**
     * Returns the completed tasks in one of the shard's records as the store cache has it; empty if
     * there is no such record.
     *
     * @param chunk 0 for the shard's own record, a higher number for an overflow record
     */
    Map<String, Object> storedDone(int chunk) {
        if (chunk == 0) {
            return doneInStore();
        }
        StoreView.Entry entry = view.get(StoreSchema.done(partNumber, chunk));
        return entry == null ? Map.of() : FinishedRecord.read(entry.value()).ranges();
    }

    private Map<String, Object> doneInStore() {
        return PartRecord.read(view.get(StoreSchema.part(partNumber)).value()).done();
    }

    /**
     * Returns the preconditions of a write to one key.
     *
     * @param key the key
     * @param version the version that the key must have; 0: the key must be absent
     * @return that precondition and the fencing precondition
     */
    Map<String, Long> guards(String key, long version) {
        Map<String, Long> guards = new LinkedHashMap<>();
        guards.put(StoreSchema.fence(partNumber), fenceVersion);
        guards.put(key, version);
        return guards;
    }

    private void renewed(
            StateReply reply,
            PartRecord record,
            ClockReading sentAt,
            FinishedRecords records,
            Map<String, Map<String, Object>> writes) {
        if (lost) {
            return;
        }
        if (reply.status() == 200) {
            recordVersion = view.applied(reply, writes);
            confirmed(record.expiryMs(), sentAt);
            standby.settled(record.standby());
            nextRenewMs =
                    standby.asWanted()
                            ? sentAt.steadyMs() + PartLease.heartbeatMs(settings)
                            : outbox.now.steadyMs();
            if (lapsedLogged && holds()) {
                lapsedLogged = false;
                sinceMs = outbox.now.steadyMs();
                outbox.log(
                        "renewed: part "
                                + partNumber
                                + " term "
                                + term
                                + " after a lapse, nobody had taken it");
            }
            if (records != null) {
                records.markDurable();
            }
            return;
        }
        nextRenewMs = outbox.now.steadyMs() + Tuning.HEARTBEAT_RETRY_MS;
        if (reply.status() == 409) {
            // Either another node has become the leader, or an earlier renewal that got no answer
            // was applied.
            renewing =
                    outbox.renewal(
                            new StateOp.Multi(
                                    Map.of(StoreSchema.fence(partNumber), fenceVersion), Map.of()),
                            fence -> {
                                renewing = false;
                                if (fence.status() == 409) {
                                    lose("its fence has changed");
                                }
                            });
            outbox.state(new StateOp.Get(StoreSchema.part(partNumber)), this::rereadRecord);
        }
    }

    private void confirmed(long expiryMs, ClockReading writtenAt) {
        if (!holds()) {
            viewNeeded = recordVersion;
        }
        lease.confirmed(expiryMs, writtenAt);
    }

    private void rereadRecord(StateReply reply) {
        if (lost || reply.status() != 200) {
            return;
        }
        try {
            StateFormat.Entry e = StateFormat.entry(new FieldMap(reply.body()));
            PartRecord record = PartRecord.read(e.value());
            if (!record.owner().equals(owner)) {
                lose("taken by " + record.owner());
            } else if (e.version() > recordVersion) {
                recordVersion = e.version();
                standby.settled(record.standby());
                term = Math.max(term, record.term());
                confirmed(record.expiryMs(), outbox.now);
                nextRenewMs = outbox.now.steadyMs();
            }
        } catch (FieldMap.Missing x) {
            outbox.log("state: part record not understood: " + x.getMessage());
        }
    }

    /**
     * Raises the term above a fencing token that a worker has seen: the worker would reject answers
     * with a lower token. Does nothing while a renewal is in flight.
     *
     * @param above the token that the worker has seen
     */
    void raise(long above) {
        if (renewing || !holds()) {
            return;
        }
        StoreView.Entry counter = view.get(StoreSchema.TERM);
        long counted = counter == null ? 0 : ((Number) counter.value().get("term")).longValue();
        long next = Math.max(counted, above) + 1;
        Map<String, Long> guards = guards(StoreSchema.part(partNumber), recordVersion);
        guards.put(StoreSchema.TERM, counter == null ? 0 : counter.version());
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        PartRecord record =
                new PartRecord(owner, lease.expiryWallMs(), next, doneInStore(), standby.wanted());
        writes.put(StoreSchema.part(partNumber), record.write());
        writes.put(StoreSchema.TERM, Map.of("term", next));
        standby.sending(record.standby());
        renewing =
                outbox.renewal(
                        new StateOp.Multi(guards, writes),
                        reply -> {
                            renewing = false;
                            if (reply.status() == 200 && !lost) {
                                recordVersion = view.applied(reply, writes);
                                standby.settled(record.standby());
                                term = next;
                                outbox.log(
                                        "term: part "
                                                + partNumber
                                                + " raised to "
                                                + next
                                                + " for a worker that has seen "
                                                + above);
                            } else {
                                nextRenewMs = outbox.now.steadyMs();
                            }
                        });
    }

    /**
     * Ends the leadership if the shard's new record names another leader.
     *
     * @param record the record that the store cache now shows
     */
    void recordChanged(PartRecord record) {
        if (!record.owner().equals(owner)) {
            lose("taken by " + record.owner());
        }
    }

    /**
     * Gives up the leadership so that another node can take over at once. From before the write is
     * sent, this node no longer acts as the leader; if the write is lost, the lease expires as
     * after a crash. Does nothing while a renewal is in flight, because the write would then fail
     * for the version of the record.
     *
     * @param why the reason, for the log
     * @param done the completed tasks to store with the record
     */
    void release(String why, FinishedRecords done) {
        if (renewing) {
            return;
        }
        // The standby takes over at once, and it knows every order that left this leader.
        PartRecord record = new PartRecord(owner, 0, term, done.chunk(0), standby.wanted());
        if (outbox.renewal(
                new StateOp.Multi(
                        guards(StoreSchema.part(partNumber), recordVersion),
                        Map.of(StoreSchema.part(partNumber), record.write())),
                reply -> {})) {
            lose("released: " + why);
        }
    }

    private void lose(String why) {
        if (!lost) {
            lost = true;
            outbox.log("lost: part " + partNumber + " term " + term + ", " + why);
        }
    }
}
