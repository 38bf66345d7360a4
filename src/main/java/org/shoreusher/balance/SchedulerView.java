package org.shoreusher.balance;

import java.util.List;

/** The scheduler's current state of machines and tasks, as far as the balancer needs it. */
public interface SchedulerView {
    /** Returns the tasks of a team on a machine that may be migrated now. */
    List<MigratableTask> migratableTasks(String machine, String team);

    /**
     * Whether a machine is responsive, accepts tasks, and has capacity for the task within the
     * job's constraints.
     */
    boolean canAccept(String machine, MigratableTask task);
}
