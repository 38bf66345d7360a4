package org.shoreusher.balance;

import java.util.List;

/** What the balancer asks of the scheduler about machines and tasks as they are now. */
public interface FleetView {
    /** Tasks of a team on a machine that may be moved now. */
    List<MovableTask> movableTasks(String machine, String team);

    /** Whether a machine reports, may be given work, and has room for the task that is allowed. */
    boolean takes(String machine, MovableTask task);
}
