package org.shoreusher.core.user;

import org.shoreusher.core.message.Response.TaskCounts;

/** The source of task counts, which are for display only. */
@FunctionalInterface
public interface TaskCountSource {
    /**
     * Returns the latest counts of completed and running tasks that this node has for a job; zeros
     * if it has none.
     */
    TaskCounts taskCounts(String jobId);
}
