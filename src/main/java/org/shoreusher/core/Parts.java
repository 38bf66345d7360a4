package org.shoreusher.core;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.Keys.PartRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/** Takes parts that are free, and holds those this node owns. */
final class Parts {
    private final Settings settings;
    private final Outbox out;
    private final Mirror mirror;
    private final Types types;
    private final String owner;
    private final Part[] owned = new Part[Tuning.PARTS];
    private final long[] freeSinceMs = new long[Tuning.PARTS];
    private boolean taking;
    private long nextTakeMs;

    Parts(Settings settings, Outbox out, Mirror mirror, Types types, String owner) {
        this.settings = settings;
        this.out = out;
        this.mirror = mirror;
        this.types = types;
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
        Mirror.Entry e = mirror.get(Keys.part(n));
        return e == null ? null : PartRecord.read(e.value());
    }

    /** Which part takes on a machine or job that nothing else decides about. */
    static int partOf(String id) {
        return Math.floorMod(id.hashCode(), Tuning.PARTS);
    }

    void step() {
        for (int n = 0; n < owned.length; n++) {
            if (owned[n] != null) {
                owned[n].step();
                if (owned[n].lost()) {
                    owned[n] = null;
                }
            }
        }
        if (!mirror.loaded() || taking || mirror.ageMs() > Tuning.VIEW_STALE_MS || out.now.steadyMs() < nextTakeMs) {
            return;
        }
        for (int n = 0; n < owned.length && !taking; n++) {
            PartRecord record = record(n);
            // A takeover of this process that got no answer may have been applied: nobody acts on it.
            boolean ownTrace = record != null && record.owner().equals(owner);
            if (owned[n] != null || (record != null && !ownTrace && !PartLease.free(settings, record.expiryMs(), out.now))) {
                freeSinceMs[n] = 0;
            } else if (freeSinceMs[n] == 0) {
                freeSinceMs[n] = out.now.steadyMs();
            }
            // A node that holds parts already leaves others time to come first.
            if (freeSinceMs[n] > 0 && out.now.steadyMs() - freeSinceMs[n] >= ownedCount() * Tuning.TAKE_PAUSE_MS) {
                take(n, record);
            }
        }
    }

    private void take(int n, PartRecord before) {
        nextTakeMs = out.now.steadyMs() + Tuning.TAKE_PAUSE_MS;
        Mirror.Entry counter = mirror.get(Keys.TERM);
        long term = 1 + (counter == null ? 0 : ((Number) counter.value().get("term")).longValue());
        Reading sentAt = out.now;
        PartRecord record = new PartRecord(owner, sentAt.wallMs() + Tuning.LEASE_MS, term, before == null ? Map.of() : before.done());
        Map<String, Long> guards = new LinkedHashMap<>();
        guards.put(Keys.part(n), mirror.version(Keys.part(n)));
        guards.put(Keys.TERM, mirror.version(Keys.TERM));
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        writes.put(Keys.part(n), record.write());
        writes.put(Keys.fence(n), Map.of("owner", owner, "term", term));
        writes.put(Keys.TERM, Map.of("term", term));
        taking = out.renewal(new StateOp.Multi(guards, writes), reply -> {
            taking = false;
            if (reply.status() == 200) {
                long revision = ((Number) reply.body().get("ledger")).longValue();
                owned[n] = new Part(n, settings, out, mirror, types, record, sentAt, revision);
                writes.forEach((key, value) -> mirror.apply(key, value, revision));
                out.log("takeover: part " + n + " term " + term + (before == null ? ", new" : " from " + before.owner()));
            }
        });
    }

    /** The view shows a new record of a part. */
    void recordChanged(int n, PartRecord record) {
        Part part = owned(n);
        if (part != null) {
            part.recordChanged(record);
        }
    }
}
