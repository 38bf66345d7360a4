package org.shoreusher.core.user;

import java.util.Optional;
import org.shoreusher.core.message.Response.TaskCounts;
import org.shoreusher.core.store.JobRecord;

/** The source of task counts. */
@FunctionalInterface
public interface TaskCountSource {
    /**
     * Returns the counts of completed and running tasks of an open job, at most as old as users
     * accept; empty if this node does not know them.
     */
    Optional<TaskCounts> taskCounts(String jobId, JobRecord record);
}
