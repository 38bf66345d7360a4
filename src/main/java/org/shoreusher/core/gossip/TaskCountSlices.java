package org.shoreusher.core.gossip;

import it.unimi.dsi.fastutil.HashCommon;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.shoreusher.core.cluster.Job;

/**
 * Divides the task counts of all open jobs into slices, one for each message, because the size of a
 * message is limited. The messages contain the slices in turn, so that each job is in one of them
 * at least every {@link GossipConstants#TASK_COUNT_CYCLE_MS}.
 */
final class TaskCountSlices {
    /**
     * The task counts in one message. A job whose counts are unknown is left out.
     *
     * @param runningTasks the number of active tasks by job id
     * @param completedTasks the number of completed tasks by job id; jobs without any are left out
     */
    record Slice(Map<String, Integer> runningTasks, Map<String, Integer> completedTasks) {}

    private int sliceCount = 1;
    private int nextSlice;

    /** Returns the next slice of the jobs of these shards. */
    Slice next(Collection<LedShardView> shards) {
        int jobCount = shards.stream().mapToInt(shard -> shard.jobs().size()).sum();
        sliceCount = 1 + jobCount / GossipConstants.JOBS_PER_MESSAGE;
        nextSlice = (nextSlice + 1) % sliceCount;
        Slice slice = new Slice(new HashMap<>(), new HashMap<>());
        for (LedShardView shard : shards) {
            for (Job job : shard.jobs().values()) {
                if (isInNextSlice(job.id())) {
                    addCounts(slice, shard, job);
                }
            }
        }
        return slice;
    }

    private boolean isInNextSlice(String jobId) {
        return sliceCount == 1
                || Math.floorMod(HashCommon.murmurHash3(jobId.hashCode()), sliceCount) == nextSlice;
    }

    private static void addCounts(Slice slice, LedShardView shard, Job job) {
        shard.taskCounts(job)
                .ifPresent(
                        counts -> {
                            slice.runningTasks().put(job.id(), counts.running());
                            if (counts.completed() > 0) {
                                slice.completedTasks().put(job.id(), counts.completed());
                            }
                        });
    }

    /** The time from the last message to the next one, in ms. */
    long intervalMs() {
        return Math.min(
                GossipConstants.GOSSIP_INTERVAL_MS,
                GossipConstants.TASK_COUNT_CYCLE_MS / sliceCount);
    }
}
