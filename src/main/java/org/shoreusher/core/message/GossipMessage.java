package org.shoreusher.core.message;

import java.util.Map;

/**
 * What a node tells its peers about itself from time to time. Correctness never depends on gossip:
 * a wrong, late or missing message costs time only.
 *
 * @param senderHost the sender's host name
 * @param sentWallMs when the message was sent: ms since the epoch, by the sender's clock
 * @param storeReachable whether the sender has had a reply from the key-value store lately
 * @param uptimeS seconds since the sender's process started
 * @param shards the shards that the sender leads, by number
 * @param redirectedWorkers by shard, the number of workers that the shard's leader had answered
 *     before and that have sent heartbeats to the sender since; leaders use it to detect one-way
 *     partitions
 * @param runningTasks the number of active tasks by job id, for display
 * @param completedTasks the number of completed tasks by job id, for display
 */
public record GossipMessage(
        String senderHost,
        long sentWallMs,
        boolean storeReachable,
        double uptimeS,
        Map<Integer, ShardSummary> shards,
        Map<Integer, Integer> redirectedWorkers,
        Map<String, Integer> runningTasks,
        Map<String, Integer> completedTasks) {

    /**
     * The load of a shard.
     *
     * @param cpuHeadroom CPUs that are free on its machines, less those of its pending tasks; may
     *     be negative
     * @param idleMachines the number of machines for which the shard has no work
     * @param machineShortfall the number of further machines that the shard could use now
     * @param teamDemands the demand of each team with an open job in the shard
     */
    public record ShardSummary(
            double cpuHeadroom,
            int idleMachines,
            int machineShortfall,
            Map<String, TeamDemand> teamDemands) {}

    /**
     * What a team's pending and active tasks need of its quota.
     *
     * @param highPriorityCpus CPUs of tasks with high or production priority
     * @param otherCpus CPUs of the other tasks
     */
    public record TeamDemand(double highPriorityCpus, double otherCpus) {}
}
