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
 * A shard's share of each team's quota.
 *
 * <p>One record per team in the key-value store contains the shares of all shards; they never sum
 * to more than the quota. Only the leader of a shard lowers its share, in the same compare-and-swap
 * that raises another shard's. It respects the lower share from before the write is sent, so two
 * shards never use the same CPU. For a resource without a quota the record contains 0, which is not
 * read.
 */
final class Quota {
    /**
     * A write that lowers this shard's share.
     *
     * @param version version of the record that is the precondition of the write
     * @param record the shares after the write
     */
    private record Give(long version, QuotaRecord record) {}

    private final int partNumber;
    private final int parts;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreView view;
    private final Map<String, Long> fence;

    /** Transfers whose outcome is unknown; until it is known the lower share applies. */
    private final Object2ObjectOpenHashMap<String, Give> giving = new Object2ObjectOpenHashMap<>();

    private final ObjectOpenHashSet<String> inFlight = new ObjectOpenHashSet<>();

    /**
     * CPUs that this shard should not exceed once the demands of the others are considered, by
     * team.
     */
    private final Object2ObjectOpenHashMap<String, Double> target =
            new Object2ObjectOpenHashMap<>();

    private boolean creating;
    private long nextMs;

    /**
     * Creates the shares of one shard.
     *
     * @param fence preconditions of every write: this shard's leadership
     */
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

    /** Returns the CPUs that tasks of the team in this shard may use. */
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

    /** Returns the GPUs that tasks of the team in this shard may use. */
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
     * Returns the CPUs up to which new tasks should start. It may be below the share, so that
     * another shard can get what its more urgent tasks need.
     */
    double startCpus(String team) {
        Double t = target.get(team);
        return t == null ? cpus(team) : Math.min(cpus(team), t);
    }

    private QuotaRecord stored(String team) {
        StoreView.Entry e = view.get(StoreSchema.quotaKey(team));
        return e == null ? null : QuotaRecord.fromMap(e.value(), parts);
    }

    /**
     * Creates missing records and transfers shares to shards with a higher demand.
     *
     * @param used CPUs that this shard's tasks of a team use or may use
     * @param claims each shard's demand for a team, null where no recent gossip is known
     * @param quantum smallest useful transfer for a team, in CPUs
     */
    void step(
            Function<String, Double> used,
            Function<String, Claim[]> claims,
            Function<String, Double> quantum) {
        if (parts == 1 || outbox.now.monotonicMs() < nextMs) {
            return;
        }
        nextMs = outbox.now.monotonicMs() + Tuning.QUOTA_EVERY_MS;
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
            if (view.get(StoreSchema.quotaKey(team.name())) == null
                    && writes.size() < settings.txnOps()) {
                guards.put(StoreSchema.quotaKey(team.name()), 0L);
                writes.put(
                        StoreSchema.quotaKey(team.name()),
                        QuotaRecord.splitEvenly(
                                        shared(team.cpusMax()), shared(team.gpusMax()), parts)
                                .toMap());
            }
        }
        if (!writes.isEmpty() && !creating) {
            creating =
                    outbox.callStore(
                            new StateOp.Multi(guards, writes),
                            reply -> {
                                creating = false;
                                if (reply.status() == 200) {
                                    view.applyOwnWrites(reply, writes);
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
        if (open != null && view.version(StoreSchema.quotaKey(team.name())) == open.version) {
            // The outcome is unknown: repeating the same write is safe, since it succeeds or the
            // record has changed.
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
        // GPUs are transferred in proportion to the CPUs.
        double moved =
                stored.cpus()[partNumber] <= 0
                        ? 0
                        : Math.floor(gpus[partNumber] * amount / stored.cpus()[partNumber]);
        gpus[partNumber] -= moved;
        gpus[to] += moved;
        Give give =
                new Give(
                        view.version(StoreSchema.quotaKey(team.name())),
                        new QuotaRecord(cpus, gpus));
        giving.put(team.name(), give);
        send(team.name(), give);
    }

    private void send(String team, Give give) {
        Map<String, Long> guards = new LinkedHashMap<>(fence);
        guards.put(StoreSchema.quotaKey(team), give.version);
        Map<String, Map<String, Object>> writes =
                Map.of(StoreSchema.quotaKey(team), give.record.toMap());
        boolean sent =
                outbox.callStore(
                        new StateOp.Multi(guards, writes),
                        reply -> {
                            inFlight.remove(team);
                            if (reply.status() == 200) {
                                giving.remove(team);
                                view.applyOwnWrites(reply, writes);
                            }
                        });
        if (sent) {
            inFlight.add(team);
        }
    }

    /**
     * Computes how a quota should be shared: high-priority demand first, then other demand, and the
     * remainder evenly.
     *
     * @param max the quota, in CPUs
     * @param claims demand of each shard; a shard without (null) keeps its share
     * @param shares current share of each shard
     * @param quantum shares are rounded to a multiple of this
     */
    static double[] targets(double max, Claim[] claims, double[] shares, double quantum) {
        int parts = shares.length;
        double[] outbox = new double[parts];
        double left = max;
        // A shard without recent gossip keeps its share: no other shard may use it anyway.
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
