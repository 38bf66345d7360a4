package org.shoreusher.core.schedule;

import java.util.List;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.store.Outbox;

/** Sends orders to stop tasks directly to their workers. */
public final class TaskStopper {
    private final ShardState shard;
    private final ShardAuthority authority;
    private final Outbox outbox;

    /** Creates the stopper of one shard. */
    public TaskStopper(ShardContext context) {
        shard = context.state();
        authority = context.authority();
        outbox = context.outbox();
    }

    /** Returns the grace period, in seconds, that a stopped task gets to write a checkpoint. */
    public static double gracePeriodS(TaskAttempt attempt) {
        return attempt.job().spec().checkpointDurationS()
                * ScheduleConstants.CHECKPOINT_GRACE_FACTOR;
    }

    /**
     * Returns an order to stop the task.
     *
     * @param gracePeriodS seconds until the task is killed
     */
    public static WorkerOrder stopOrder(TaskAttempt attempt, double gracePeriodS) {
        return new WorkerOrder(
                WorkerOrder.Kind.STOP,
                attempt.job().id(),
                attempt.taskIndex(),
                attempt.attemptNumber(),
                gracePeriodS);
    }

    /**
     * Sends an order to stop a task directly to its worker. Responses to heartbeats repeat the
     * order until the task is gone, so nothing is sent directly if the machine is unresponsive or
     * not reconciled, or within {@link ScheduleConstants#STOP_ORDER_RETRY_MS} of the last direct
     * order for the task.
     *
     * @param gracePeriodS seconds until the task is killed
     */
    public void sendStop(TaskAttempt attempt, double gracePeriodS) {
        Machine machine = attempt.machine();
        // An unresponsive machine probably cannot be reached: its worker's lease expires, or the
        // response to its next heartbeat contains the order.
        if (authority.isLeader()
                && machine.worker().address() != null
                && machine.worker().isReconciled()
                && outbox.now().monotonicMs() - machine.worker().lastHeartbeatAtMs()
                        < shard.heartbeatTimeoutMs()
                && outbox.now().monotonicMs() - attempt.lastStopOrderMs()
                        > ScheduleConstants.STOP_ORDER_RETRY_MS) {
            attempt.recordStopOrder(outbox.now().monotonicMs());
            outbox.add(
                    new Effect.SendOrders(
                            machine.worker().address(),
                            authority.term(),
                            machine.worker().incarnation(),
                            List.of(stopOrder(attempt, gracePeriodS))));
        }
    }
}
