package org.shoreusher.core.user;

import org.shoreusher.core.message.Response.TaskCounts;

/** The source of task counts, which are for display only. */
@FunctionalInterface
public interface TaskCountSource {
    /** Returns the completed and running tasks of a job, as far as this node knows. */
    TaskCounts taskCounts(String jobId);
}
