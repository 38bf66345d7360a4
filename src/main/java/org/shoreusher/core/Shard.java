package org.shoreusher.core;

import java.util.Map;
import java.util.Optional;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.gossip.LedShardView;
import org.shoreusher.core.gossip.ShardDemand;
import org.shoreusher.core.heartbeat.HeartbeatApplier;
import org.shoreusher.core.heartbeat.HeartbeatHandler;
import org.shoreusher.core.job.CompletionRecords;
import org.shoreusher.core.job.OpenJobs;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.job.ShardJobs;
import org.shoreusher.core.leadership.PeerView;
import org.shoreusher.core.leadership.ReconciliationProgress;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.machine.Autoscaler;
import org.shoreusher.core.machine.MachineLifecycle;
import org.shoreusher.core.machine.ShardMachines;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.message.Response.TaskCounts;
import org.shoreusher.core.reconcile.PromotedAttemptLog;
import org.shoreusher.core.reconcile.Reconciliation;
import org.shoreusher.core.replication.StandbyReplication;
import org.shoreusher.core.schedule.PreemptionPass;
import org.shoreusher.core.schedule.QuotaHeadroom;
import org.shoreusher.core.schedule.QuotaShares;
import org.shoreusher.core.schedule.ShardScheduling;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.settings.SharedConstants;

/**
 * A shard that this node leads: composes the collaborators and runs their due work. An instance
 * exists from the time at which this node becomes the leader until the leadership is lost.
 *
 * <p>Invariant: every write to the key-value store has the shard's fencing key as a precondition,
 * so a write that arrives after a later leadership change has no effect. {@link HeartbeatHandler}
 * describes which invariants hold for the starts of tasks.
 */
final class Shard implements LedShardView {
    private final ShardLeadership leadership;
    private final ShardContext context;
    private final ShardState state;
    private final ShardAuthority authority;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final ShardDemand shardDemand;
    private final QuotaShares quotaShares;
    private final QuotaHeadroom quotaHeadroom;
    private final ShardScheduling scheduling;
    private final ShardJobs jobs;
    private final ShardMachines machines;
    private final StandbyReplication standbyReplication;
    private final Reconciliation reconciliation;
    private final Autoscaler autoscaler;
    private final PreemptionPass preemption;
    private final HeartbeatHandler heartbeatHandler;
    private final WorkerReachability workerReachability;
    private long nextSchedulingPassMs;
    private long nextStatusLogMs;

    /**
     * Creates the shard after its leadership was acquired. Its jobs and machines are loaded later,
     * by {@link #step}.
     *
     * @param shardNumber the shard's number
     * @param shardCount the number of shards
     * @param services the objects that the node's shards share
     * @param peerView information from gossip about other nodes
     * @param leadership the acquired leadership
     * @param promotedLog the attempt log of the previous leader, if this node was its standby
     */
    Shard(
            int shardNumber,
            int shardCount,
            NodeServices services,
            PeerView peerView,
            ShardLeadership leadership,
            PromotedAttemptLog promotedLog) {
        this.leadership = leadership;
        outbox = services.context().outbox();
        storeCache = services.context().storeCache();
        ReconciliationProgress progress = new ReconciliationProgress();
        state = new ShardState(shardNumber, shardCount, services.context().settings(), outbox);
        authority = new ShardAuthority(services.context(), peerView, leadership, progress);
        context = new ShardContext(services.context(), state, authority);
        workerReachability = new WorkerReachability(state, authority, leadership, peerView, outbox);
        shardDemand =
                new ShardDemand(shardNumber, shardCount, peerView, state.jobs(), state.machines());
        RunTimeEstimates runTimeEstimates = new RunTimeEstimates();
        ShardAssembly assembly = new ShardAssembly(services, context, leadership, runTimeEstimates);
        quotaShares = assembly.createQuotaShares();
        quotaHeadroom =
                new QuotaHeadroom(
                        context.settings(),
                        quotaShares,
                        state.resourceLedger(),
                        progress,
                        shardDemand);
        scheduling = assembly.createScheduling(quotaHeadroom);
        jobs = assembly.createJobs(scheduling);
        machines = assembly.createMachines();
        standbyReplication = new StandbyReplication(context, peerView, leadership);
        registerListeners();
        reconciliation =
                new Reconciliation(
                        context,
                        leadership,
                        progress,
                        jobs,
                        machines,
                        scheduling.taskMigration(),
                        promotedLog);
        autoscaler = new Autoscaler(context, machines, scheduling, runTimeEstimates, shardDemand);
        preemption = new PreemptionPass(context, scheduling);
        heartbeatHandler = createHeartbeatHandler();
    }

    private HeartbeatHandler createHeartbeatHandler() {
        HeartbeatApplier heartbeatApplier =
                new HeartbeatApplier(context, jobs, machines, scheduling, reconciliation);
        return new HeartbeatHandler(
                context, jobs, machines, scheduling, standbyReplication, heartbeatApplier);
    }

    private void registerListeners() {
        state.resourceLedger().addListener(scheduling.taskMigration());
        state.resourceLedger().addListener(standbyReplication);
        state.setMachineRemovalListener(scheduling.taskMigration()::onMachineRemoved);
    }

    HeartbeatHandler heartbeatHandler() {
        return heartbeatHandler;
    }

    /** The open jobs, which are updated from the job records in the store cache. */
    OpenJobs openJobs() {
        return jobs.openJobs();
    }

    /** The machines, which are updated from the machine records in the store cache. */
    MachineLifecycle machineLifecycle() {
        return machines.lifecycle();
    }

    /** Replicates the log of task attempts to the standby. */
    StandbyReplication standbyReplication() {
        return standbyReplication;
    }

    ShardLeadership leadership() {
        return leadership;
    }

    @Override
    public ShardSummary summary() {
        return shardDemand.summarize(autoscaler::isSurplus, autoscaler.machineShortfall());
    }

    @Override
    public boolean isLeader() {
        return authority.isLeader();
    }

    @Override
    public Optional<TaskCounts> taskCounts(Job job) {
        boolean isKnown =
                authority.isReconciled()
                        || areAllTasksKnown(job)
                        || !job.activeAttempts().isEmpty();
        return isKnown
                ? Optional.of(
                        new TaskCounts(
                                job.completedTasks().cardinality(), job.activeAttempts().size()))
                : Optional.empty();
    }

    /**
     * Whether it is known of each task whether it is pending, active or completed. During
     * reconciliation a task that a previous leader may have started is none of these until its
     * machine is heard of.
     */
    private static boolean areAllTasksKnown(Job job) {
        int activeTasks = 0;
        for (int taskIndex : job.activeAttempts().keySet()) {
            activeTasks += job.completedTasks().get(taskIndex) ? 0 : 1;
        }
        int knownTasks = job.pendingCount() + activeTasks + job.completedTasks().cardinality();
        return knownTasks >= job.spec().taskCount();
    }

    @Override
    public Map<String, Job> jobs() {
        return state.jobs();
    }

    /** The shard's jobs and machines. */
    ShardState state() {
        return state;
    }

    /** The checks of what this node may currently do as the shard's leader. */
    ShardAuthority authority() {
        return authority;
    }

    /**
     * Steps down so that another node can acquire the shard immediately. Does nothing if the
     * shard's record cannot be written now; see {@link ShardLeadership#stepDown}.
     *
     * @param reason the reason, for the log
     */
    void stepDown(String reason) {
        leadership.stepDown(reason, completionRecords());
    }

    /** Returns whether most workers can't reach this node although its lease is valid. */
    boolean isUnreachableFromWorkers() {
        return workerReachability.isLeaderUnreachable();
    }

    private CompletionRecords completionRecords() {
        return CompletionRecords.layOut(
                state.jobs().values(), context.settings(), leadership::storedCompletions);
    }

    /**
     * Does all work that is due: renews the lease, loads the stored state once it is available,
     * writes records, and at fixed intervals runs a scheduling pass.
     */
    void step() {
        if (authority.isLeadershipLost()) {
            return;
        }
        leadership.logLeaseExpiry();
        leadership.renewLease(() -> authority.isLoaded() ? completionRecords() : null);
        if (!authority.isLoaded()) {
            // The store cache must include the acquisition of the leadership. It then includes all
            // writes of previous leaders, since these fail after the acquisition.
            if (storeCache.revision() < leadership.acquisitionRevision()
                    || !machines.typeCatalog().isLoaded()) {
                return;
            }
            reconciliation.loadFromStore();
        }
        jobs.highWaterMarks().writeRequestedMarks();
        machines.machineRecords().write();
        jobs.terminalStateWriter().writeTerminalStates();
        standbyReplication.step();
        if (authority.isLeader()) {
            jobs.submissionBatches().removeEmptyBatches(leadership);
        }
        if (outbox.now().monotonicMs() < nextSchedulingPassMs) {
            return;
        }
        nextSchedulingPassMs =
                outbox.now().monotonicMs() + CoreConstants.SCHEDULING_PASS_INTERVAL_MS;
        runSchedulingPass();
        if (outbox.now().monotonicMs() >= nextStatusLogMs) {
            nextStatusLogMs = outbox.now().monotonicMs() + SharedConstants.STATUS_LOG_INTERVAL_MS;
            outbox.log(ShardStatus.statusEvent(this, storeCache.size()));
        }
    }

    /**
     * Expires worker leases, then advances reconciliation, quota shares, autoscaling, preemption
     * and task migration.
     */
    private void runSchedulingPass() {
        machines.lifecycle().expireWorkerLeases();
        reconciliation.step();
        quotaShares.step(
                quotaHeadroom::cpusUsed, shardDemand::demandByShard, shardDemand::largestTaskCpus);
        autoscaler.step();
        preemption.preemptForReplicas();
        preemption.preemptForPriority();
        scheduling.taskMigration().step();
    }
}
