package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.gossip.ShardDemand;
import org.shoreusher.core.heartbeat.HeartbeatHandler;
import org.shoreusher.core.job.CompletionRecords;
import org.shoreusher.core.job.HighWaterMarks;
import org.shoreusher.core.job.OpenJobs;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.job.TerminalStateWriter;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.machine.Autoscaler;
import org.shoreusher.core.machine.MachineIndex;
import org.shoreusher.core.machine.MachineLifecycle;
import org.shoreusher.core.machine.MachineRecords;
import org.shoreusher.core.machine.MachineTypeCatalog;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.reconcile.PromotedAttemptLog;
import org.shoreusher.core.reconcile.Reconciliation;
import org.shoreusher.core.replication.StandbyReplication;
import org.shoreusher.core.schedule.BinPacker;
import org.shoreusher.core.schedule.QuotaHeadroom;
import org.shoreusher.core.schedule.QuotaShares;
import org.shoreusher.core.schedule.SchedulingOrder;
import org.shoreusher.core.schedule.TaskEviction;
import org.shoreusher.core.schedule.TaskMigration;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * A shard that this node leads: its lease, jobs and machines. An instance exists from the moment at
 * which this node becomes the leader until the leadership is lost.
 *
 * <p>Invariant: every write to the key-value store has the shard's fencing key as a precondition,
 * so a write that arrives after a later leadership change has no effect. {@link HeartbeatHandler}
 * describes which invariants hold for the starts of tasks.
 */
public final class Shard {
    /**
     * What gossip tells about other controllers and their shards. It may be outdated or missing.
     */
    public interface PeerView {
        /** Returns the latest summary of a shard, or null if there is no recent one. */
        ShardSummary shardSummary(int shardNumber);

        /**
         * Returns whether every other member has just reported that the key-value store does not
         * answer it either.
         */
        boolean isStoreUnavailableToAllPeers();

        /**
         * Returns how many workers have recently returned to another controller after it had
         * redirected them to this shard's leader. If several controllers have seen such workers,
         * the largest of their counts is returned. A high count indicates a partition between the
         * leader and its workers.
         */
        int workersUnableToReachLeader(int shardNumber);

        /** Returns whether gossip from the host's controller has arrived recently. */
        boolean isResponsive(String host);

        /**
         * Returns the monotonic time in ms until which another node may still rely on this node's
         * gossip that the key-value store does not answer it.
         */
        long storeOutageGossipValidUntilMs();
    }

    public final int shardNumber;
    private final int shardCount;
    private final PeerView peerView;
    private final QuotaShares quotaShares;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final MachineTypeCatalog machineTypes;
    private final ShardLeadership leadership;
    private final Autoscaler autoscaler;
    private final RunTimeEstimates runTimeEstimates = new RunTimeEstimates();
    private final SchedulingOrder schedulingOrder;
    private final OpenJobs openJobs;
    private final Object2ObjectOpenHashMap<String, Machine> machines =
            new Object2ObjectOpenHashMap<>();
    private final ResourceLedger resourceLedger = new ResourceLedger();
    private final SubmissionBatches submissionBatches;
    private final MachineIndex machineIndex;
    private final MachineRecords machineRecords;
    private final ShardDemand shardDemand;
    private final HighWaterMarks highWaterMarks;
    private final HeartbeatHandler heartbeatHandler;

    private final TerminalStateWriter terminalStateWriter;
    private final TaskEviction taskEviction;

    private final Reconciliation reconciliation;
    private final QuotaHeadroom quotaHeadroom;
    private final TaskMigration taskMigration;
    private final StandbyReplication standbyReplication;
    private final MachineLifecycle lifecycle;
    private long nextSchedulingPassMs;
    private long nextStatusLineMs;

    /**
     * Creates the shard after its leadership was acquired. Its jobs and machines are loaded later,
     * by {@link #step}.
     *
     * @param shardNumber the shard's number
     * @param shardCount the number of shards
     * @param context the node's shared collaborators
     * @param peerView what gossip tells about other controllers and shards
     * @param leadership the leadership that was acquired
     * @param promotedAttempts the attempt log of the previous leader, if this node was its standby
     */
    Shard(
            int shardNumber,
            int shardCount,
            NodeContext context,
            PeerView peerView,
            ShardLeadership leadership,
            PromotedAttemptLog promotedAttempts) {
        this.shardNumber = shardNumber;
        this.shardCount = shardCount;
        this.peerView = peerView;
        this.settings = context.settings();
        this.outbox = context.outbox();
        this.storeCache = context.storeCache();
        this.machineTypes = context.machineTypes();
        this.submissionBatches = context.submissionBatches();
        this.machineIndex = context.machineIndex();
        this.leadership = leadership;
        this.quotaShares =
                new QuotaShares(
                        shardNumber,
                        shardCount,
                        settings,
                        outbox,
                        storeCache,
                        leadership.fencingPrecondition());
        this.machineRecords =
                new MachineRecords(shardNumber, context, leadership, machines, this::removeMachine);
        this.schedulingOrder = new SchedulingOrder(settings, runTimeEstimates);
        this.openJobs = new OpenJobs(this, outbox);
        Map<String, Job> jobs = openJobs.byId();
        this.autoscaler = new Autoscaler(this, settings, outbox, machineTypes);
        this.shardDemand = new ShardDemand(shardNumber, shardCount, peerView, jobs, machines);
        this.highWaterMarks =
                new HighWaterMarks(shardNumber, shardCount, context, leadership, jobs);
        this.terminalStateWriter =
                new TerminalStateWriter(outbox, storeCache, submissionBatches, leadership);
        this.taskEviction = new TaskEviction(this, outbox);
        this.taskMigration = new TaskMigration(this, context, resourceLedger);
        resourceLedger.addListener(taskMigration);
        this.standbyReplication = new StandbyReplication(this, context, peerView, leadership);
        resourceLedger.addListener(standbyReplication);
        this.reconciliation =
                new Reconciliation(
                        this,
                        context,
                        leadership,
                        highWaterMarks,
                        resourceLedger,
                        promotedAttempts);
        this.lifecycle =
                new MachineLifecycle(
                        this, shardCount, context, peerView, leadership, resourceLedger);
        this.quotaHeadroom =
                new QuotaHeadroom(
                        settings, quotaShares, resourceLedger, reconciliation, shardDemand);
        this.heartbeatHandler = new HeartbeatHandler(this, context, resourceLedger, highWaterMarks);
    }

    // ---- collaborators and state -------------------------------------------------------------

    /** The stored records of the shard's machines. */
    public MachineRecords machineRecords() {
        return machineRecords;
    }

    /** Handles the heartbeats of the shard's workers. */
    HeartbeatHandler heartbeatHandler() {
        return heartbeatHandler;
    }

    /** The demand of the other shards. */
    public ShardDemand shardDemand() {
        return shardDemand;
    }

    /** Writes the terminal states of jobs. */
    public TerminalStateWriter terminalStateWriter() {
        return terminalStateWriter;
    }

    /** Evicts running tasks. */
    public TaskEviction taskEviction() {
        return taskEviction;
    }

    /** Returns the summary of this shard that gossip carries to the other nodes. */
    public ShardSummary summary() {
        return shardDemand.summarize(autoscaler);
    }

    /** Decides when machines are added and removed. */
    public Autoscaler autoscaler() {
        return autoscaler;
    }

    /** The leadership of this shard. */
    public ShardLeadership leadership() {
        return leadership;
    }

    /** Returns whether the leadership has ended for good. */
    public boolean isLeadershipLost() {
        return leadership.isLost();
    }

    /** Returns whether this node is the leader and its lease is valid. */
    public boolean isLeader() {
        return leadership.isLeader();
    }

    /** The leader's current term, which workers receive as the fencing token. */
    public long term() {
        return leadership.term();
    }

    /**
     * Gives up the leadership so that another node can take over at once. Does nothing while a
     * lease renewal is in flight.
     *
     * @param reason the reason, for the log
     */
    void stepDown(String reason) {
        leadership.stepDown(reason, completionRecords());
    }

    /**
     * Returns whether most workers can't reach this node although its lease is valid, as in a
     * one-way partition: after being redirected here they have returned to other nodes. A leader
     * that stayed until the partition ends would lose all tasks that run on those machines.
     */
    boolean isUnreachableFromWorkers() {
        if (!reconciliation.isLoaded()
                || !isLeader()
                || outbox.now.monotonicMs() - leadership.leaderSinceMs()
                        < Tuning.REDIRECTED_WORKER_RETRY_MS) {
            return false;
        }
        // This runs in every batch, so machines are counted only if some workers have returned to
        // other nodes.
        int unreachableWorkers = peerView.workersUnableToReachLeader(shardNumber);
        if (unreachableWorkers <= 1) {
            return false;
        }
        int runningMachines = 0;
        for (Machine machine : machines.values()) {
            runningMachines += machine.state == Machine.State.UP ? 1 : 0;
        }
        return unreachableWorkers
                > Math.max(1, runningMachines * Tuning.STEP_DOWN_UNREACHABLE_SHARE);
    }

    private CompletionRecords completionRecords() {
        return CompletionRecords.layOut(jobs().values(), settings, leadership::storedCompletions);
    }

    /** Estimates of the run times of tasks. */
    public RunTimeEstimates runTimeEstimates() {
        return runTimeEstimates;
    }

    /** The order in which jobs are scheduled. */
    public SchedulingOrder schedulingOrder() {
        return schedulingOrder;
    }

    /** The shard's open jobs, by id. */
    public Map<String, Job> jobs() {
        return openJobs.byId();
    }

    /** The shard's open jobs. */
    public OpenJobs openJobs() {
        return openJobs;
    }

    /** Reconciles the state of the shard with its workers after a leadership change. */
    public Reconciliation reconciliation() {
        return reconciliation;
    }

    /** Replicates the log of task attempts to the standby. */
    public StandbyReplication standbyReplication() {
        return standbyReplication;
    }

    /** The shard's machines, by id. */
    public Map<String, Machine> machines() {
        return machines;
    }

    /** Returns whether the shard's stored state has been loaded. */
    public boolean isLoaded() {
        return reconciliation.isLoaded();
    }

    /**
     * Returns whether reconciliation is complete: it is known of every task whether it runs, and
     * where.
     */
    public boolean isReconciled() {
        return reconciliation.isComplete();
    }

    /** Follows the machines from provisioning to termination. */
    public MachineLifecycle lifecycle() {
        return lifecycle;
    }

    /** What the teams may still use of their quotas. */
    public QuotaHeadroom quotaHeadroom() {
        return quotaHeadroom;
    }

    /** Migrates tasks between machines. */
    public TaskMigration taskMigration() {
        return taskMigration;
    }

    /** Forgets a machine that is gone or belongs to another shard. */
    public void removeMachine(String machineId) {
        machines.remove(machineId);
        taskMigration.onMachineRemoved(machineId);
    }

    /**
     * Returns whether a machine may be given new tasks: it sends heartbeats, receives its orders,
     * and is neither reserved for another shard nor under an interruption notice.
     */
    public boolean isAvailable(Machine machine) {
        return machine.state == Machine.State.UP
                && machine.reconciled
                && !machine.evacuating
                && !machine.hasOneWayPartition()
                && Double.isNaN(machine.interruptionNoticeS)
                && outbox.now.monotonicMs() - machine.lastHeartbeatAtMs < heartbeatTimeoutMs();
    }

    /** The time in ms after its last heartbeat from which a machine counts as unresponsive. */
    public double heartbeatTimeoutMs() {
        return settings.heartbeatIntervalS() * 1000 * Tuning.UNRESPONSIVE_HEARTBEAT_INTERVALS;
    }

    /**
     * Returns whether heartbeats may be answered, which extends the leases of the workers.
     *
     * <p>Not with a store cache so old that a cancellation missing from it would take effect too
     * late: a leader may be able to renew its lease again and again while no write of another node
     * reaches it.
     *
     * <p>After the expiry of the leader's lease, heartbeats may be answered for a grace period,
     * provided that the store is unavailable to all nodes. If the store answers another node, that
     * node will take over, and every answer given here would only delay the worker's move to it.
     * The next leader relies on this: it does not wait for a grace period that it has not itself
     * confirmed by gossip.
     */
    public boolean canAnswerHeartbeats() {
        return !isLeadershipLost()
                && reconciliation.isLoaded()
                && storeCache.ageMs() < LeaderLease.maxStoreCacheAgeMs(settings)
                && (isLeader()
                        || (leadership.mayExtendWorkerLeases()
                                && peerView.isStoreUnavailableToAllPeers()));
    }

    /**
     * Returns whether orders that start a task may be given now. During reconciliation the only
     * waiting tasks are those that are certainly on no machine, and each team is charged with
     * everything that unresponsive machines may be running. After an expiry of the lease, the store
     * cache must first have caught up with what others wrote meanwhile, which may include a
     * cancellation that was confirmed to a user.
     */
    public boolean canStartTasks() {
        return reconciliation.isLoaded()
                && isLeader()
                && storeCache.ageMs() < Tuning.MAX_STORE_CACHE_AGE_MS
                && leadership.isStoreCacheCaughtUp();
    }

    // ---- time --------------------------------------------------------------------------------

    /**
     * Does all work that is due: renews the lease, loads the stored state once it is available,
     * writes records, and at fixed intervals runs a scheduling pass.
     */
    void step() {
        if (isLeadershipLost()) {
            return;
        }
        leadership.logLeaseExpiry();
        leadership.renewLease(() -> reconciliation.isLoaded() ? completionRecords() : null);
        if (!reconciliation.isLoaded()) {
            if (storeCache.revision() < leadership.acquisitionRevision()
                    || !machineTypes.isLoaded()) {
                return;
            }
            reconciliation.loadFromStore();
        }
        highWaterMarks.writeRequestedMarks();
        machineRecords.write();
        terminalStateWriter.writeTerminalStates();
        standbyReplication.step();
        if (isLeader()) {
            submissionBatches.removeEmptyBatches(leadership);
        }
        if (outbox.now.monotonicMs() < nextSchedulingPassMs) {
            return;
        }
        nextSchedulingPassMs = outbox.now.monotonicMs() + Tuning.FULL_SCAN_INTERVAL_MS;
        lifecycle.expireWorkerLeases();
        reconciliation.step();
        quotaShares.step(
                quotaHeadroom::cpusUsed, shardDemand::demandByShard, shardDemand::largestTaskCpus);
        autoscaler.step();
        taskEviction.preemptForReplicas();
        taskEviction.preemptForPriority();
        taskMigration.step();
        if (outbox.now.monotonicMs() >= nextStatusLineMs) {
            nextStatusLineMs = outbox.now.monotonicMs() + Tuning.STATUS_LOG_INTERVAL_MS;
            outbox.logDebug(ShardStatus.statusLine(this, storeCache.size()));
        }
    }

    /** Returns the CPUs of all running machines. */
    public double totalCpus() {
        double totalCpus = 0;
        for (Machine machine : machines.values()) {
            totalCpus += machine.state == Machine.State.UP ? machine.type.cpus() : 0;
        }
        return totalCpus;
    }

    // ---- failover ----------------------------------------------------------------------------

    /**
     * Returns whether a machine's worker lease has certainly expired, so that its worker has
     * stopped all tasks.
     */
    public boolean hasWorkerLeaseExpired(Machine machine) {
        return outbox.now.monotonicMs()
                > machine.leaseRenewedAtMs + LeaderLease.workerLeaseBoundMs(settings);
    }

    // ---- placement ---------------------------------------------------------------------------

    /** Returns a bin packer over all available machines that have free capacity now. */
    public BinPacker binPacker() {
        List<BinPacker.MachineCapacity> capacities = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (isAvailable(machine)) {
                BinPacker.MachineCapacity capacity = new BinPacker.MachineCapacity(machine);
                if (!capacity.isFull()) {
                    capacities.add(capacity);
                }
            }
        }
        return new BinPacker(
                capacities,
                quotaHeadroom::cpuHeadroom,
                quotaHeadroom::gpuHeadroom,
                taskMigration.spreadLimit());
    }
}
