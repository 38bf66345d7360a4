package org.shoreusher.core.heartbeat;

import java.util.List;
import org.shoreusher.balance.TaskId;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.job.ShardJobs;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.schedule.PlacedTasks;
import org.shoreusher.core.schedule.PlacementPlan;
import org.shoreusher.core.schedule.ShardScheduling;
import org.shoreusher.core.schedule.TaskMigration;
import org.shoreusher.core.store.Outbox;

/** Starts tasks on a machine in the response to its heartbeat. */
final class TaskStarter {
    /** The started attempt is the current one of its task, not a surplus one. */
    private static final boolean ASSIGNED_TO_JOB = true;

    private final ShardState shard;
    private final ShardAuthority authority;
    private final Outbox outbox;
    private final ResourceLedger ledger;
    private final TaskMigration taskMigration;
    private final PlacementPlan placementPlan;

    /** The low bits of the next attempt number; counts the starts under this leadership from 1. */
    private long nextAttemptSequence = 1;

    TaskStarter(ShardContext context, ShardJobs jobs, ShardScheduling scheduling) {
        shard = context.state();
        authority = context.authority();
        outbox = context.outbox();
        ledger = shard.resourceLedger();
        taskMigration = scheduling.taskMigration();
        placementPlan = new PlacementPlan(context, scheduling, jobs.highWaterMarks());
    }

    /** Whether the machine has free capacity, or capacity reserved for tasks that migrate to it. */
    boolean hasCapacityOrMigratedTasks(Machine machine) {
        return machine.resources().cpusFree() > ClusterConstants.EPSILON
                || machine.resources().gpusFree() > ClusterConstants.EPSILON
                || taskMigration.hasReadyTasks(machine);
    }

    /**
     * Starts the migrated tasks that are ready for this machine, then as many planned tasks as fit.
     * Adds an order for each start.
     */
    void startTasks(Machine machine, List<WorkerOrder> orders) {
        // Migrated tasks go first: the machine's resources are already reserved for them.
        for (TaskId migrated : taskMigration.takeReadyTasks(machine)) {
            startTask(shard.jobs().get(migrated.job()), migrated.index(), machine, orders);
        }
        // The response and the heartbeat are limited in size, so a machine has a maximum number of
        // tasks even if more small ones would fit.
        int remainingTasks =
                ClusterConstants.MAX_TASKS_PER_MACHINE
                        - Math.max(machine.attempts().size(), machine.worker().reportedTaskCount());
        for (PlacedTasks placed : placementPlan.takeTasksToStart(machine)) {
            int taskIndex = -1;
            for (int i = 0; i < placed.taskCount() && remainingTasks > 0; i++, remainingTasks--) {
                taskIndex = placed.job().pendingTasks().nextSetBit(taskIndex + 1);
                if (taskIndex < 0 || taskIndex >= placed.job().highWaterMark()) {
                    // The raised high-water mark is not durable yet. The task stays pending
                    // for the next plan.
                    break;
                }
                startTask(placed.job(), taskIndex, machine, orders);
            }
        }
    }

    /** Starts a pending task under an attempt number that was never used before. */
    private void startTask(Job job, int taskIndex, Machine machine, List<WorkerOrder> orders) {
        TaskAttempt attempt =
                new TaskAttempt(
                        job,
                        taskIndex,
                        authority.term() << ClusterConstants.ATTEMPT_SEQUENCE_BITS
                                | nextAttemptSequence++,
                        machine,
                        TaskAttempt.State.START_ORDERED,
                        outbox.now().monotonicMs());
        ledger.add(attempt, ASSIGNED_TO_JOB);
        job.recordStart();
        orders.add(
                new WorkerOrder(
                        WorkerOrder.Kind.START,
                        job.id(),
                        taskIndex,
                        attempt.attemptNumber(),
                        WorkerOrder.NO_GRACE_PERIOD_S));
    }
}
