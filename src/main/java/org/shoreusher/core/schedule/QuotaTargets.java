package org.shoreusher.core.schedule;

import java.util.function.ToDoubleFunction;
import org.shoreusher.core.message.GossipMessage.TeamDemand;

/** Computes how a team's quota should be shared between the shards. */
final class QuotaTargets {
    private QuotaTargets() {}

    /**
     * Returns the share that each shard should have: high-priority demand first, then other demand,
     * and the remainder evenly.
     *
     * @param limit the quota, in CPUs
     * @param demands demand of each shard; a shard without (null) keeps its share
     * @param currentShares current share of each shard
     * @param quantum shares are rounded to a multiple of this
     */
    static double[] targetShares(
            double limit, TeamDemand[] demands, double[] currentShares, double quantum) {
        double[] targetShares = new double[currentShares.length];
        double remaining = limit;
        int shardsWithDemand = 0;
        // A shard without recent gossip keeps its share: no other shard may use it anyway.
        for (int shard = 0; shard < demands.length; shard++) {
            if (demands[shard] == null) {
                targetShares[shard] = currentShares[shard];
                remaining -= currentShares[shard];
            } else {
                shardsWithDemand++;
            }
        }
        remaining -= grant(remaining, demands, TeamDemand::highPriorityCpus, targetShares);
        remaining -= grant(remaining, demands, TeamDemand::otherCpus, targetShares);
        for (int shard = 0; shard < demands.length; shard++) {
            if (demands[shard] != null) {
                double share = targetShares[shard] + Math.max(0, remaining) / shardsWithDemand;
                targetShares[shard] = Math.floor(share / quantum + 0.5) * quantum;
            }
        }
        return targetShares;
    }

    /**
     * Grants one kind of demand in full, or in proportion if less remains.
     *
     * @return the CPUs granted
     */
    private static double grant(
            double remaining,
            TeamDemand[] demands,
            ToDoubleFunction<TeamDemand> kind,
            double[] targetShares) {
        double totalDemand = 0;
        for (TeamDemand demand : demands) {
            totalDemand += demand == null ? 0 : kind.applyAsDouble(demand);
        }
        double ratio = totalDemand <= 0 ? 0 : Math.min(1, Math.max(0, remaining) / totalDemand);
        for (int shard = 0; shard < demands.length; shard++) {
            if (demands[shard] != null) {
                targetShares[shard] += kind.applyAsDouble(demands[shard]) * ratio;
            }
        }
        return totalDemand * ratio;
    }
}
