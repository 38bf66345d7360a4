package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.Hint.Claim;
import org.shoreusher.core.StoreSchema.QuotaRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * A part's share of each team's limit. The shares of all parts are in one record per team and never
 * sum to more than the limit. Only a part's owner lowers its share, in the write that raises
 * another's, and it keeps to the lower share from before that write is sent, so at no moment may
 * two parts use the same CPU. What a team has no limit on needs no shares: the records have 0
 * there, which nobody reads.
 */
final class Quota {
    /** A write that lowers this part's share, valid only upon one version of the record. */
    private record Give(long version, QuotaRecord record) {}

    private final int partNumber;
    private final int parts;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final Map<String, Long> fence;

    /** Gives whose fate is open; until it is known, the part keeps to what would be left. */
    private final Object2ObjectOpenHashMap<String, Give> giving = new Object2ObjectOpenHashMap<>();

    private final ObjectOpenHashSet<String> inFlight = new ObjectOpenHashSet<>();

    /** What this part should keep to when others' claims are weighed, by team. */
    private final Object2ObjectOpenHashMap<String, Double> target =
            new Object2ObjectOpenHashMap<>();

    private boolean creating;
    private long nextMs;

    Quota(
            int partNumber,
            int parts,
            Settings settings,
            Outbox outbox,
            StoreView view,
            Map<String, Long> fence) {
        this.partNumber = partNumber;
        this.parts = parts;
        this.settings = settings;
        this.outbox = outbox;
        this.view = view;
        this.fence = fence;
    }

    /** CPUs that this part's tasks of a team may use. */
    double cpus(String team) {
        Settings.Team t = settings.teams().get(team);
        if (parts == 1 || t == null || Double.isInfinite(t.cpusMax())) {
            return t == null ? 0 : t.cpusMax();
        }
        QuotaRecord stored = stored(team);
        Give open = giving.get(team);
        return stored == null
                ? 0
                : open == null
                        ? stored.cpus()[partNumber]
                        : Math.min(stored.cpus()[partNumber], open.record.cpus()[partNumber]);
    }

    double gpus(String team) {
        Settings.Team t = settings.teams().get(team);
        if (parts == 1 || t == null || Double.isInfinite(t.gpusMax())) {
            return t == null ? 0 : t.gpusMax();
        }
        QuotaRecord stored = stored(team);
        Give open = giving.get(team);
        return stored == null
                ? 0
                : open == null
                        ? stored.gpus()[partNumber]
                        : Math.min(stored.gpus()[partNumber], open.record.gpus()[partNumber]);
    }

    /**
     * CPUs up to which new tasks should be started, so that another part's more pressing ones get
     * theirs.
     */
    double startCpus(String team) {
        Double t = target.get(team);
        return t == null ? cpus(team) : Math.min(cpus(team), t);
    }

    private QuotaRecord stored(String team) {
        StoreView.Entry e = view.get(StoreSchema.quota(team));
        return e == null ? null : QuotaRecord.read(e.value(), parts);
    }

    /**
     * Creates missing records and gives away what others need more.
     *
     * @param used CPUs that this part's tasks of a team use or may use
     * @param claims each part's claims, null where no fresh hint tells
     */
    void step(
            Function<String, Double> used,
            Function<String, Claim[]> claims,
            Function<String, Double> quantum) {
        if (parts == 1 || outbox.now.steadyMs() < nextMs) {
            return;
        }
        nextMs = outbox.now.steadyMs() + Tuning.QUOTA_EVERY_MS;
        create();
        for (Settings.Team team : settings.teams().values()) {
            if (!Double.isInfinite(team.cpusMax())
                    && stored(team.name()) != null
                    && !inFlight.contains(team.name())) {
                weigh(
                        team,
                        used.apply(team.name()),
                        claims.apply(team.name()),
                        Math.max(1, quantum.apply(team.name())));
            }
        }
    }

    private void create() {
        Map<String, Long> guards = new LinkedHashMap<>(fence);
        Map<String, Map<String, Object>> writes = new LinkedHashMap<>();
        for (Settings.Team team : settings.teams().values()) {
            if (view.get(StoreSchema.quota(team.name())) == null
                    && writes.size() < settings.txnOps()) {
                guards.put(StoreSchema.quota(team.name()), 0L);
                writes.put(
                        StoreSchema.quota(team.name()),
                        QuotaRecord.split(shared(team.cpusMax()), shared(team.gpusMax()), parts)
                                .write());
            }
        }
        if (!writes.isEmpty() && !creating) {
            creating =
                    outbox.state(
                            new StateOp.Multi(guards, writes),
                            reply -> {
                                creating = false;
                                if (reply.status() == 200) {
                                    view.applied(reply, writes);
                                }
                            });
        }
    }

    private static double shared(double limit) {
        return Double.isInfinite(limit) ? 0 : limit;
    }

    private void weigh(Settings.Team team, double used, Claim[] claims, double quantum) {
        QuotaRecord stored = stored(team.name());
        Give open = giving.get(team.name());
        if (open != null && view.version(StoreSchema.quota(team.name())) == open.version) {
            // Its fate is open: the same write again goes through, or the record has changed.
            send(team.name(), open);
            return;
        }
        giving.remove(team.name());
        double[] targets = targets(team.cpusMax(), claims, stored.cpus(), quantum);
        target.put(team.name(), targets[partNumber]);
        double spare =
                Math.floor(
                                (stored.cpus()[partNumber] - Math.max(used, targets[partNumber]))
                                        / quantum)
                        * quantum;
        if (spare < quantum) {
            return;
        }
        double[] cpus = stored.cpus().clone();
        double[] gpus = stored.gpus().clone();
        int to = -1;
        for (int m = 0; m < parts; m++) {
            if (m != partNumber
                    && claims[m] != null
                    && targets[m] - cpus[m] >= quantum
                    && (to < 0 || targets[m] - cpus[m] > targets[to] - cpus[to])) {
                to = m;
            }
        }
        if (to < 0) {
            return;
        }
        double amount = Math.min(spare, targets[to] - cpus[to]);
        cpus[partNumber] -= amount;
        cpus[to] += amount;
        // GPUs follow the CPUs in proportion; a team without any has none to give.
        double moved =
                stored.cpus()[partNumber] <= 0
                        ? 0
                        : Math.floor(gpus[partNumber] * amount / stored.cpus()[partNumber]);
        gpus[partNumber] -= moved;
        gpus[to] += moved;
        Give give =
                new Give(view.version(StoreSchema.quota(team.name())), new QuotaRecord(cpus, gpus));
        giving.put(team.name(), give);
        send(team.name(), give);
    }

    private void send(String team, Give give) {
        Map<String, Long> guards = new LinkedHashMap<>(fence);
        guards.put(StoreSchema.quota(team), give.version);
        Map<String, Map<String, Object>> writes =
                Map.of(StoreSchema.quota(team), give.record.write());
        boolean sent =
                outbox.state(
                        new StateOp.Multi(guards, writes),
                        reply -> {
                            inFlight.remove(team);
                            if (reply.status() == 200) {
                                giving.remove(team);
                                view.applied(reply, writes);
                            }
                        });
        if (sent) {
            inFlight.add(team);
        }
    }

    /**
     * How a limit should be shared: pressing claims first, then the others, what is left evenly.
     */
    static double[] targets(double max, Claim[] claims, double[] shares, double quantum) {
        int parts = shares.length;
        double[] outbox = new double[parts];
        double left = max;
        // A part that says nothing keeps its share: nobody else may use it anyway.
        for (int m = 0; m < parts; m++) {
            if (claims[m] == null) {
                outbox[m] = shares[m];
                left -= shares[m];
            }
        }
        for (int level = 0; level < 2; level++) {
            double sum = 0;
            for (Claim c : claims) {
                sum += c == null ? 0 : level == 0 ? c.urgent() : c.other();
            }
            double ratio = sum <= 0 ? 0 : Math.min(1, Math.max(0, left) / sum);
            for (int m = 0; m < parts; m++) {
                if (claims[m] != null) {
                    double wanted = (level == 0 ? claims[m].urgent() : claims[m].other()) * ratio;
                    outbox[m] += wanted;
                }
            }
            left -= sum * ratio;
        }
        long told = Arrays.stream(claims).filter(c -> c != null).count();
        for (int m = 0; m < parts; m++) {
            if (claims[m] != null) {
                outbox[m] =
                        Math.floor((outbox[m] + Math.max(0, left) / told) / quantum + 0.5)
                                * quantum;
            }
        }
        return outbox;
    }
}
