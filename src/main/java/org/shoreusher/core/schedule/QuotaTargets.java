package org.shoreusher.core.schedule;

import java.util.function.ToDoubleFunction;
import org.shoreusher.core.message.GossipMessage.TeamDemand;

/** Computes the share of a team's quota that each shard should have. */
final class QuotaTargets {
    private QuotaTargets() {}

    /**
     * Returns the target share of each shard, in CPUs: high-priority demand is granted first, then
     * other demand, and the remainder is split evenly. Rounding may raise the sum above the quota.
     *
     * @param quota the quota, in CPUs
     * @param demands demand of each shard; null for a shard without recent gossip, which keeps its
     *     share
     * @param currentShares current share of each shard, in CPUs
     * @param quantum target shares are rounded to the nearest multiple of this, in CPUs
     */
    static double[] targetShares(
            double quota, TeamDemand[] demands, double[] currentShares, double quantum) {
        double[] targetShares = new double[currentShares.length];
        double remaining = quota;
        int shardsWithGossip = 0;
        // Only the leader of a shard can lower its share, so without recent gossip from a shard its
        // share is not available to others.
        for (int shard = 0; shard < demands.length; shard++) {
            if (demands[shard] == null) {
                targetShares[shard] = currentShares[shard];
                remaining -= currentShares[shard];
            } else {
                shardsWithGossip++;
            }
        }
        remaining -= grant(remaining, demands, TeamDemand::highPriorityCpus, targetShares);
        remaining -= grant(remaining, demands, TeamDemand::otherCpus, targetShares);
        for (int shard = 0; shard < demands.length; shard++) {
            if (demands[shard] != null) {
                double share = targetShares[shard] + Math.max(0, remaining) / shardsWithGossip;
                // Rounds to the nearest multiple, and a half up.
                targetShares[shard] = Math.floor(share / quantum + 0.5) * quantum;
            }
        }
        return targetShares;
    }

    /**
     * Grants one kind of demand in full or, if the remaining CPUs are fewer, the same fraction of
     * it to each shard.
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
        double grantedFraction =
                totalDemand <= 0 ? 0 : Math.min(1, Math.max(0, remaining) / totalDemand);
        for (int shard = 0; shard < demands.length; shard++) {
            if (demands[shard] != null) {
                targetShares[shard] += kind.applyAsDouble(demands[shard]) * grantedFraction;
            }
        }
        return totalDemand * grantedFraction;
    }
}
