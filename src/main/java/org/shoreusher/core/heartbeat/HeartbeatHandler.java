package org.shoreusher.core.heartbeat;

import java.util.ArrayList;
import java.util.List;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.job.ShardJobs;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.machine.ShardMachines;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.replication.StandbyReplication;
import org.shoreusher.core.schedule.ShardScheduling;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.settings.Settings;

/**
 * Handles the heartbeats of a shard's workers and responds to them with orders.
 *
 * <p>Guarantees: a task is started only in the response to the newest heartbeat of its machine,
 * only while the leader's lease is valid, and only if no machine can be running the task.
 */
public final class HeartbeatHandler {
    private final ShardState shard;
    private final ShardAuthority authority;
    private final Settings settings;
    private final Outbox outbox;
    private final StandbyReplication standbyReplication;
    private final MachineRegistration machineRegistration;
    private final HeartbeatApplier heartbeatApplier;
    private final ReportedTaskOrders reportedTaskOrders;
    private final TaskStarter taskStarter;

    /** Creates the handler of one shard that this process leads. */
    public HeartbeatHandler(
            ShardContext context,
            ShardJobs jobs,
            ShardMachines machines,
            ShardScheduling scheduling,
            StandbyReplication standbyReplication,
            HeartbeatApplier heartbeatApplier) {
        shard = context.state();
        authority = context.authority();
        settings = context.settings();
        outbox = context.outbox();
        this.standbyReplication = standbyReplication;
        this.heartbeatApplier = heartbeatApplier;
        machineRegistration = new MachineRegistration(context, machines);
        reportedTaskOrders = new ReportedTaskOrders(shard, jobs.submissionBatches());
        taskStarter = new TaskStarter(context, jobs, scheduling);
    }

    /**
     * Handles one heartbeat of a machine that belongs to this shard, or to no shard yet. The
     * request gets exactly one response: at once or, if a standby has to acknowledge the starts in
     * it first, later. A heartbeat that must not renew the worker's lease gets the response
     * "unavailable", and the worker tries another node.
     */
    public void handle(long requestId, WorkerHeartbeat heartbeat) {
        if (!authority.canRespondToHeartbeats() || hasNewerFencingToken(heartbeat)) {
            if (!authority.isLeadershipLost() && hasNewerFencingToken(heartbeat)) {
                authority.raiseTerm(heartbeat.fencingToken());
            }
            outbox.respondUnavailable(requestId);
            return;
        }
        Machine machine = shard.machines().get(heartbeat.machineId());
        if (machine == null) {
            machine = machineRegistration.register(heartbeat);
        }
        if (machine == null) {
            outbox.respondUnavailable(requestId);
        } else if (mayPredateFailover(machine, heartbeat)
                && !recordOrderAndCheckLeaseExpiry(machine, heartbeat)) {
            renewWorkerLease(requestId, machine, heartbeat);
        } else if (isStale(machine, heartbeat)) {
            outbox.respondUnavailable(requestId);
        } else {
            accept(requestId, machine, heartbeat);
        }
    }

    private boolean hasNewerFencingToken(WorkerHeartbeat heartbeat) {
        return heartbeat.fencingToken() > authority.term();
    }

    /**
     * Whether the heartbeat may have been sent before the failover and delayed, so that it lacks
     * tasks that the previous leader started after it. Only a heartbeat with a fencing token of
     * this leader is certain to be newer than those starts.
     */
    private boolean mayPredateFailover(Machine machine, WorkerHeartbeat heartbeat) {
        return machine.worker().wasUsedByPreviousLeader()
                && !machine.worker().isReconciled()
                && heartbeat.fencingToken() < authority.acquisitionTerm();
    }

    /**
     * Records the position of a newer heartbeat in the order of heartbeats. Returns whether the
     * heartbeat is newer and the worker lease from the previous leader has expired. If so, no task
     * of the previous leader can be left on the machine, although the worker has not received this
     * leader's term.
     *
     * <p>Each newer heartbeat with an old fencing token shows that the worker did not receive this
     * leader's response to the one before. The worker's lease therefore runs from the last response
     * of the previous leader. Without this check, a one-way partition between one worker and the
     * leader delays the reconciliation of the whole shard until the partition has healed.
     */
    private boolean recordOrderAndCheckLeaseExpiry(Machine machine, WorkerHeartbeat heartbeat) {
        if (!heartbeat.isNewerThan(
                machine.worker().incarnation(), machine.worker().sequenceNumber())) {
            return false;
        }
        machine.worker().recordHeartbeatOrder(heartbeat.incarnation(), heartbeat.sequenceNumber());
        return outbox.now().monotonicMs()
                > machine.worker().previousLeaderRenewalAtMs()
                        + LeaderLease.workerLeaseBoundMs(settings);
    }

    /** Renews the worker's lease, with only those orders that are correct under any leader. */
    private void renewWorkerLease(long requestId, Machine machine, WorkerHeartbeat heartbeat) {
        machine.worker().recordPossibleRenewal(outbox.now().monotonicMs());
        outbox.respond(
                requestId,
                new Response.HeartbeatAccepted(
                        authority.term(),
                        reportedTaskOrders.stopOrdersForCancelledJobs(heartbeat)));
    }

    /**
     * Whether the heartbeat must not be applied. The worker no longer waits for the response to a
     * delayed or duplicated heartbeat, and its task list is out of date. A machine that is being
     * handed over to another shard may already run tasks of that shard's leader, which this leader
     * must not stop.
     */
    private static boolean isStale(Machine machine, WorkerHeartbeat heartbeat) {
        return machine.state() == Machine.State.HANDING_OVER
                || heartbeat.incarnation() <= machine.worker().lastExpiredIncarnation()
                || (machine.worker().isReconciled()
                        && !heartbeat.isNewerThan(
                                machine.worker().incarnation(), machine.worker().sequenceNumber()));
    }

    /** Applies the newest heartbeat of a machine and responds to it with orders. */
    private void accept(long requestId, Machine machine, WorkerHeartbeat heartbeat) {
        standbyReplication.discardHeldResponse(machine);
        machine.worker().inferResponseDelivery(heartbeat, outbox.now().monotonicMs(), settings);
        heartbeatApplier.apply(machine, heartbeat);
        standbyReplication.respondOrHold(requestId, machine, decideOrders(machine, heartbeat));
    }

    private List<WorkerOrder> decideOrders(Machine machine, WorkerHeartbeat heartbeat) {
        if (!authority.isLeader()) {
            return reportedTaskOrders.stopOrdersForCancelledJobs(heartbeat);
        }
        List<WorkerOrder> orders = new ArrayList<>();
        reportedTaskOrders.addForgetOrders(heartbeat, orders);
        reportedTaskOrders.addStopOrders(machine, orders);
        if (canStartTasksOn(machine)) {
            taskStarter.startTasks(machine, orders);
        }
        return orders;
    }

    private boolean canStartTasksOn(Machine machine) {
        return machine.hasDurableUseRecord()
                && taskStarter.hasCapacityOrMigratedTasks(machine)
                && authority.canStartTasks()
                && standbyReplication.canStartTasks()
                && shard.isAvailable(machine);
    }
}
