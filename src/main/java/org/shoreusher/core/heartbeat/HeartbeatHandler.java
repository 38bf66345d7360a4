package org.shoreusher.core.heartbeat;

import java.util.ArrayList;
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
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.machine.ShardMachines;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.replication.StandbyReplication;
import org.shoreusher.core.schedule.BinPacker;
import org.shoreusher.core.schedule.PlacementPlan;
import org.shoreusher.core.schedule.ShardScheduling;
import org.shoreusher.core.schedule.TaskMigration;
import org.shoreusher.core.schedule.TaskStopper;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.settings.Settings;

/**
 * Handles the heartbeats of a shard's workers and answers them with orders.
 *
 * <p>Guarantees: a task is started only in the answer to the newest heartbeat of its machine, only
 * while the leader's lease is valid, and only if no machine can be running the task.
 */
public final class HeartbeatHandler {
    private final ShardState shard;
    private final ShardAuthority authority;
    private final Settings settings;
    private final Outbox outbox;
    private final ResourceLedger ledger;
    private final SubmissionBatches submissionBatches;
    private final ShardMachines machines;
    private final TaskMigration taskMigration;
    private final StandbyReplication standbyReplication;
    private final HeartbeatReader heartbeatReader;
    private final PlacementPlan placementPlan;
    private long nextAttemptNumber = 1;

    /** Creates the handler of one shard that this process leads. */
    public HeartbeatHandler(
            ShardContext context,
            ShardJobs jobs,
            ShardMachines machines,
            ShardScheduling scheduling,
            StandbyReplication standbyReplication,
            HeartbeatReader heartbeatReader) {
        shard = context.state();
        authority = context.authority();
        settings = context.settings();
        outbox = context.outbox();
        ledger = shard.resourceLedger();
        submissionBatches = jobs.submissionBatches();
        this.machines = machines;
        taskMigration = scheduling.taskMigration();
        this.standbyReplication = standbyReplication;
        this.heartbeatReader = heartbeatReader;
        placementPlan = new PlacementPlan(context, scheduling, jobs.highWaterMarks());
    }

    /**
     * Handles one heartbeat of a machine that belongs to this shard, or to no shard yet. Exactly
     * one answer to the request is emitted or, if a standby has to acknowledge the starts first, is
     * emitted later. Heartbeats that must not be answered get an "unavailable" answer, and the
     * worker tries another node.
     */
    public void handle(long requestId, WorkerHeartbeat heartbeat) {
        if (!authority.canAnswerHeartbeats() || heartbeat.fencingToken() > authority.term()) {
            if (!authority.isLeadershipLost() && heartbeat.fencingToken() > authority.term()) {
                authority.raiseTerm(heartbeat.fencingToken());
            }
            outbox.respondUnavailable(requestId);
            return;
        }
        Machine machine = shard.machines().get(heartbeat.machineId());
        if (machine == null) {
            machine = registerMachine(heartbeat);
        }
        // A heartbeat may have been delayed since before the failover and lack tasks that the
        // previous leader started after it. Only a heartbeat with a fencing token of this leader is
        // certain to be newer than those starts.
        if (machine != null
                && machine.wasUsedByPreviousLeader()
                && !machine.isReconciled()
                && heartbeat.fencingToken() < authority.acquisitionTerm()
                && !hasPreviousLeaseExpired(machine, heartbeat)) {
            machine.extendLeaseTo(outbox.now().monotonicMs());
            outbox.respond(
                    requestId,
                    new Response.HeartbeatAccepted(
                            authority.term(), stopOrdersForCancelledJobs(heartbeat)));
            return;
        }
        // The worker no longer waits for the answer to a delayed or duplicated heartbeat, and the
        // task list in it is stale. A machine that is being transferred to another shard may
        // already run tasks of that shard's leader, which must not be stopped here.
        if (machine == null
                || machine.state() == Machine.State.HANDING_OVER
                || heartbeat.incarnation() <= machine.lastExpiredIncarnation()
                || (machine.isReconciled()
                        && !heartbeat.isNewerThan(
                                machine.incarnation(), machine.sequenceNumber()))) {
            outbox.respondUnavailable(requestId);
            return;
        }
        standbyReplication.discardHeldAnswer(machine);
        machine.inferReplyDelivery(heartbeat, outbox.now().monotonicMs(), settings);
        heartbeatReader.apply(machine, heartbeat);
        List<WorkerOrder> orders = new ArrayList<>();
        if (authority.isLeader()) {
            addForgetAndStopOrders(machine, heartbeat, orders);
            if (machine.hasDurableUseRecord()
                    && (machine.cpusFree() > ClusterConstants.EPSILON
                            || machine.gpusFree() > ClusterConstants.EPSILON
                            || taskMigration.hasReadyTasks(machine))
                    && authority.canStartTasks()
                    && standbyReplication.canStartTasks()
                    && shard.isAvailable(machine)) {
                startTasks(machine, orders);
            }
        } else {
            orders.addAll(stopOrdersForCancelledJobs(heartbeat));
        }
        standbyReplication.answerOrHold(requestId, machine, orders);
    }

    /**
     * Whether no task of the previous leader can be left on a machine that has not seen this
     * leader's term. Each newer heartbeat with an old fencing token shows that the worker did not
     * receive the answer to the one before. Its lease therefore runs from the last answer of the
     * previous leader. Without this check a one-way partition between one worker and the leader
     * delayed the reconciliation of the whole shard for as long as the partition lasted.
     */
    private boolean hasPreviousLeaseExpired(Machine machine, WorkerHeartbeat heartbeat) {
        boolean isNewer = heartbeat.isNewerThan(machine.incarnation(), machine.sequenceNumber());
        if (isNewer) {
            machine.recordHeartbeatOrder(heartbeat.incarnation(), heartbeat.sequenceNumber());
        }
        return isNewer
                && outbox.now().monotonicMs()
                        > machine.previousLeaderRenewalAtMs()
                                + LeaderLease.workerLeaseBoundMs(settings);
    }

    private Machine registerMachine(WorkerHeartbeat heartbeat) {
        // A delayed heartbeat must not register a terminated machine again, whether its record
        // still exists or not.
        if (machines.terminatedMachines().contains(heartbeat.machineId())) {
            return null;
        }
        MachineRecord record = machines.machineIndex().get(heartbeat.machineId());
        if (record != null) {
            return record.shardNumber() == shard.shardNumber()
                    ? machines.lifecycle().addRecordedMachine(heartbeat.machineId(), record)
                    : null;
        }
        // Nor a machine that a previous leader terminated. A machine that has a fencing token but
        // no record is registered only if the cloud lists it.
        if (heartbeat.fencingToken() > 0 && !machines.inventory().isListed(heartbeat.machineId())) {
            return null;
        }
        return machines.lifecycle()
                .addNewMachine(
                        heartbeat.machineId(),
                        machines.typeCatalog().get(heartbeat.machineType()),
                        heartbeat.zone(),
                        heartbeat.spot(),
                        outbox.now().wallMs());
    }

    /**
     * Adds the orders that follow from the reported tasks: to forget exited tasks whose result is
     * durable, and to stop tasks that must not run or are being evicted.
     */
    private void addForgetAndStopOrders(
            Machine machine, WorkerHeartbeat heartbeat, List<WorkerOrder> orders) {
        for (TaskStatus task : heartbeat.tasks()) {
            if (task.state() == TaskState.EXITED && canForget(task)) {
                orders.add(
                        new WorkerOrder(
                                WorkerOrder.Kind.FORGET,
                                task.jobId(),
                                task.taskIndex(),
                                task.attemptNumber(),
                                0));
            }
        }
        for (TaskAttempt attempt : machine.tasks().values()) {
            if (attempt.mustStop()) {
                orders.add(TaskStopper.stopOrder(attempt, 0));
            } else if (attempt.isBeingEvicted()
                    && attempt.state() != TaskAttempt.State.CHECKPOINTING) {
                orders.add(TaskStopper.stopOrder(attempt, TaskStopper.gracePeriodS(attempt)));
            }
        }
    }

    /**
     * Stop orders for tasks whose job is cancelled. Cancelled is a terminal state in the store, so
     * these orders are correct whoever leads the shard and however old the heartbeat is. They are
     * given as early as possible because leadership may change so often that a leader answers a
     * worker only once (seen with ten leaders in two minutes).
     */
    private List<WorkerOrder> stopOrdersForCancelledJobs(WorkerHeartbeat heartbeat) {
        List<WorkerOrder> orders = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            if (task.state() != TaskState.EXITED && shard.jobs().get(task.jobId()) == null) {
                JobRecord record = submissionBatches.jobRecord(task.jobId());
                if (record != null && record.status() == JobStatus.CANCELLED) {
                    orders.add(
                            new WorkerOrder(
                                    WorkerOrder.Kind.STOP,
                                    task.jobId(),
                                    task.taskIndex(),
                                    task.attemptNumber(),
                                    0));
                }
            }
        }
        return orders;
    }

    /**
     * Whether the worker may forget an exited task: always after a failure or a stop, and after a
     * completion once the completion record or the job's terminal state is in the store.
     */
    private boolean canForget(TaskStatus task) {
        if (task.exitCause() != ExitCause.COMPLETED) {
            return true;
        }
        Job job = shard.jobs().get(task.jobId());
        if (job != null) {
            return !job.spec().workloadType().runsToCompletion()
                    || job.durablyCompletedTasks().get(task.taskIndex());
        }
        // Completed jobs are no longer open.
        JobRecord record = submissionBatches.jobRecord(task.jobId());
        return record == null || record.status() != JobStatus.OPEN;
    }

    /** Starts the migrated tasks that wait for this machine, then as many planned tasks as fit. */
    private void startTasks(Machine machine, List<WorkerOrder> orders) {
        // Migrated tasks go first: the machine's resources are already reserved for them.
        for (TaskId migrated : taskMigration.takeReadyTasks(machine)) {
            startTasks(shard.jobs().get(migrated.job()), migrated.index(), machine, orders);
        }
        // Answer and heartbeat are limited in size, however many small tasks would fit.
        int remainingTasks =
                ClusterConstants.MAX_TASKS_PER_MACHINE
                        - Math.max(machine.tasks().size(), machine.reportedTaskCount());
        for (BinPacker.PlacedTasks placed : placementPlan.takeTasksToStart(machine)) {
            int taskIndex = -1;
            for (int i = 0; i < placed.taskCount() && remainingTasks > 0; i++, remainingTasks--) {
                taskIndex = placed.job().pendingTasks().nextSetBit(taskIndex + 1);
                if (taskIndex < 0 || taskIndex >= placed.job().highWaterMark()) {
                    // The raised high-water mark is not durable yet. The next plan has the task
                    // again.
                    break;
                }
                startTasks(placed.job(), taskIndex, machine, orders);
            }
        }
    }

    /** Starts a pending task with an attempt number that was never used: term and counter. */
    private void startTasks(Job job, int taskIndex, Machine machine, List<WorkerOrder> orders) {
        TaskAttempt attempt =
                new TaskAttempt(
                        job,
                        taskIndex,
                        authority.term() << ClusterConstants.ATTEMPT_SEQUENCE_BITS
                                | nextAttemptNumber++,
                        machine,
                        TaskAttempt.State.START_ORDERED,
                        outbox.now().monotonicMs());
        ledger.add(attempt, true);
        job.recordStart();
        orders.add(
                new WorkerOrder(
                        WorkerOrder.Kind.START, job.id(), taskIndex, attempt.attemptNumber(), 0));
    }
}
