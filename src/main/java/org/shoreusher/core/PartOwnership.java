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
 * The hold on one part: its lease, its term, and the fence that guards every write for it. Once
 * lost it is lost for good; a part taken again gets a new one.
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

    /** The revision that the view must have reached since the last lapse; 0: it has. */
    private long viewNeeded;

    private long nextRenewMs;

    /** The last chunk of finished tasks that was written. */
    private int lastChunk;

    /**
     * @param writtenAt when the takeover was sent
     * @param version the revision at which it was applied
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

    /** The owning process, HOST/SUFFIX. */
    String owner() {
        return owner;
    }

    boolean lost() {
        return lost;
    }

    /** Lets the part's record name this standby, soon; null: none. */
    void nameStandby(String process) {
        standby.want(process);
        nextRenewMs = Math.min(nextRenewMs, outbox.now.steadyMs());
    }

    /** Whether the record names no standby, and no write that was sent can still name one. */
    boolean surelyNoStandby() {
        return standby.surelyNone();
    }

    /** Whether commands may be given and effects decided. */
    boolean holds() {
        return !lost && lease.holds(outbox.now);
    }

    /** Whether reports may at least be answered without commands. */
    boolean keepsAlive() {
        return !lost && lease.keepsAlive(outbox.now);
    }

    long term() {
        return term;
    }

    /** The term of the takeover: a worker that has seen it has been answered by this owner. */
    long takenTerm() {
        return takenTerm;
    }

    /** The revision that the view must have reached to show all that earlier owners did. */
    long takenRevision() {
        return fenceVersion;
    }

    /** Since when it has been held without a lapse. */
    long sinceMs() {
        return sinceMs;
    }

    long takenAtMs() {
        return takenAtMs;
    }

    Map<String, Long> fence() {
        return Map.of(StoreSchema.fence(partNumber), fenceVersion);
    }

    /** Whether the view shows all that was written up to the renewal that ended the last lapse. */
    boolean viewComplete() {
        if (viewNeeded > 0 && view.revision() >= viewNeeded) {
            viewNeeded = 0;
        }
        return viewNeeded == 0;
    }

    /** Logs a lapse once. */
    void watchLapse() {
        if (!holds() && !lost && !lapsedLogged) {
            lapsedLogged = true;
            outbox.log(
                    "lapse: part " + partNumber + " term " + term + ", lease not renewed in time");
        }
    }

    /**
     * Renews when it is due. {@code records}: the finished tasks to write, or null before they are
     * loaded.
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
        // In turns: with many jobs every chunk changes between heartbeats, and the last ones must
        // become durable as well.
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
     * The finished tasks in one of the part's records as the view has it; none if there is no such
     * record.
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

    /** Guards for a write on one key: its version, and the fence that dies with this ownership. */
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
            // Either somebody took the part, or an earlier renewal without an answer was applied.
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

    /** A worker has seen a higher token than this part's term, so its answers would be dropped. */
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

    /** The view shows a new record of this part. */
    void recordChanged(PartRecord record) {
        if (!record.owner().equals(owner)) {
            lose("taken by " + record.owner());
        }
    }

    /**
     * Gives the part up so that another node can take it at once. This node acts for it no more
     * from before the write is sent; if the write is lost, the lease runs out as after a crash.
     * Beside a renewal in flight it would be refused for the record's version, so it has to wait
     * for that.
     */
    void release(String why, FinishedRecords done) {
        if (renewing) {
            return;
        }
        // The standby takes over at once, and what left this owner it knows.
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
