package org.shoreusher.core.message;

import java.util.Map;

/**
 * The state that a node sends to its peers at intervals. Correctness never depends on gossip: a
 * wrong, late or missing message only causes delays. A message contains the task counts of some or
 * all open jobs; a job that is missing has unknown counts.
 *
 * @param senderHost the sender's host name
 * @param sentWallMs when the message was sent, in ms since the Unix epoch, by the sender's clock
 * @param storeReachable whether the sender has recently received a reply from the key-value store
 * @param uptimeS seconds since the sender's process started
 * @param shards the shards that the sender leads, by number
 * @param redirectedWorkers by shard, the number of workers that received responses from the shard's
 *     leader before and have sent heartbeats to the sender since; leaders use it to detect one-way
 *     partitions
 * @param runningTasks the number of active tasks by job id, of which users are told for a short
 *     time
 * @param completedTasks the number of completed tasks by job id, for display; a job without an
 *     entry that has one in runningTasks has none
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
     * @param cpuHeadroom free CPUs of its machines minus the CPUs of its pending tasks; may be
     *     negative
     * @param surplusMachines the number of idle machines that the shard does not need
     * @param machineShortfall the number of further machines that the shard could use now
     * @param teamDemands the demand of each team with an open job in the shard
     */
    public record ShardSummary(
            double cpuHeadroom,
            int surplusMachines,
            int machineShortfall,
            Map<String, TeamDemand> teamDemands) {}

    /**
     * The part of a team's quota that its pending and active tasks need.
     *
     * @param highPriorityCpus CPUs of tasks with high or production priority
     * @param otherCpus CPUs of the other tasks
     */
    public record TeamDemand(double highPriorityCpus, double otherCpus) {}
}
