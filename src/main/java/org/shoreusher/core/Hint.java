package org.shoreusher.core;

import java.util.Map;

/**
 * What a node tells its peers about itself from time to time. Correctness never depends on gossip:
 * a wrong, late or missing message costs time only.
 *
 * @param from the sender's host name
 * @param sentWallMs when the message was sent: ms since the epoch, by the sender's clock
 * @param stateOk whether the sender has had a reply from the key-value store lately
 * @param upS seconds since the sender's process started
 * @param parts the shards that the sender leads, by number
 * @param back by shard, the number of workers that the shard's leader had answered before and that
 *     have sent heartbeats to the sender since; leaders use it to detect one-way partitions
 * @param running the number of active tasks by job id, for display
 * @param done the number of completed tasks by job id, for display
 */
public record Hint(
        String from,
        long sentWallMs,
        boolean stateOk,
        double upS,
        Map<Integer, PartHint> parts,
        Map<Integer, Integer> back,
        Map<String, Integer> running,
        Map<String, Integer> done) {

    /**
     * The load of a shard.
     *
     * @param room CPUs that are free on its machines, less those of its pending tasks; may be
     *     negative
     * @param idle the number of machines for which the shard has no work
     * @param lacks the number of further machines that the shard could use now
     * @param claims the demand of each team with an open job in the shard
     */
    public record PartHint(double room, int idle, int lacks, Map<String, Claim> claims) {}

    /**
     * What a team's pending and active tasks need of its quota.
     *
     * @param urgent CPUs of tasks with high or production priority
     * @param other CPUs of the other tasks
     */
    public record Claim(double urgent, double other) {}
}
