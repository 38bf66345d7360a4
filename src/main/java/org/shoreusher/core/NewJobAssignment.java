package org.shoreusher.core;

import java.util.Arrays;
import org.shoreusher.core.gossip.PeerGossip;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.message.GossipMessage.TeamDemand;
import org.shoreusher.core.message.JobSpec;

/** Assigns each new job to the shard with the most headroom. */
final class NewJobAssignment {
    private final PeerGossip peerGossip;

    /** CPUs of jobs assigned to each shard since this node last sent gossip. */
    private final double[] assignedCpus;

    NewJobAssignment(PeerGossip peerGossip, int shardCount) {
        this.peerGossip = peerGossip;
        assignedCpus = new double[shardCount];
    }

    /**
     * Clears the assigned CPUs; called after each gossip round, since later shard summaries include
     * the jobs assigned so far.
     */
    void reset() {
        Arrays.fill(assignedCpus, 0);
    }

    /**
     * Returns the number of the shard with the most headroom for a new job, preferring shards with
     * jobs of its team, and subtracts the job from that headroom until the next gossip round.
     */
    int assign(JobSpec spec) {
        int bestShard = 0;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (int shardNumber = 0; shardNumber < assignedCpus.length; shardNumber++) {
            double score = score(shardNumber, spec.team());
            if (score > bestScore) {
                bestScore = score;
                bestShard = shardNumber;
            }
        }
        assignedCpus[bestShard] += spec.taskCount() * spec.cpus();
        return bestShard;
    }

    /**
     * The CPU headroom of a shard plus a bonus for the CPUs that the team already demands there.
     */
    private double score(int shardNumber, String team) {
        ShardSummary summary = peerGossip.shardSummary(shardNumber);
        if (summary == null) {
            return CoreConstants.UNKNOWN_SHARD_HEADROOM_CPUS - assignedCpus[shardNumber];
        }
        double headroom = summary.cpuHeadroom() - assignedCpus[shardNumber];
        TeamDemand demand = summary.teamDemands().get(team);
        // Keeps the jobs of one team in one shard where possible, so that the team's quota is not
        // split between shards.
        return demand == null
                ? headroom
                : headroom
                        + CoreConstants.TEAM_AFFINITY_WEIGHT
                                * (demand.highPriorityCpus() + demand.otherCpus());
    }
}
