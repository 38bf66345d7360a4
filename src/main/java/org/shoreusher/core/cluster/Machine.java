package org.shoreusher.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.settings.Settings;

/**
 * What the leader of a shard knows of one machine of that shard. Times are monotonic ms unless a
 * name says otherwise.
 */
public final class Machine {
    /**
     * The stages of a machine's life; a machine only ever moves to a later one, except that a
     * refused termination of an idle machine brings it back to {@link #UP}.
     */
    public enum State {
        /** Provisioned; its worker has sent no heartbeat to this leader yet. */
        BOOTING,
        /** Its worker has sent a heartbeat to this leader. */
        UP,
        /** Its handover to another shard is being written to the store and is not confirmed yet. */
        HANDING_OVER,
        /** No task is started on it any more; it is terminated once empty. */
        DRAINING,
        /** Its termination has been requested from the cloud and is not confirmed yet. */
        TERMINATING
    }

    /** The cloud's name of the machine; never used again for another one. */
    private final String id;

    private final MachineType type;
    private final String zone;
    private final boolean spot;

    /**
     * Wall-clock ms at which it was requested from the cloud, or its age in the cloud's list says
     * so.
     */
    private final long provisionedWallMs;

    private State state = State.BOOTING;

    /** Address of its worker, from the newest heartbeat; null before the first. */
    private String address;

    /** The worker's incarnation in the newest heartbeat. A new one starts with no tasks. */
    private long incarnation;

    /** Sequence number of the newest heartbeat within its incarnation. */
    private long sequenceNumber;

    /** Monotonic ms of the newest heartbeat that this leader has received in its term. */
    private long lastHeartbeatAtMs = Long.MIN_VALUE / 2;

    /**
     * Monotonic ms of the latest moment at which a reply, of this leader or a previous one, may
     * have renewed the worker's lease. The lease expires one worker lease after it.
     */
    private long leaseRenewedAtMs;

    /**
     * Monotonic ms of the latest moment at which a previous leader may have renewed the worker's
     * lease.
     */
    private long previousLeaderRenewalAtMs;

    /** Monotonic ms of the last reply that this leader sent; -1 if none. */
    private long lastReplyAtMs = -1;

    /** Replies in a row that seem not to have reached the worker. */
    private int unacknowledgedReplies;

    /**
     * Whether this leader has accepted a heartbeat of the worker, so that its task list replaces
     * what was inferred from the store.
     */
    private boolean reconciled;

    /**
     * Whether a previous leader may have started tasks on it. Then only a heartbeat made after the
     * failover reconciles it.
     */
    private boolean usedByPreviousLeader;

    /**
     * Newest worker incarnation whose lease has expired. A heartbeat of this incarnation or an
     * older one arrives late and lists tasks that no longer run.
     */
    private long lastExpiredIncarnation;

    /**
     * Whether tasks may have been started on it, by this leader or a previous one. Never false
     * again once true.
     */
    private boolean mayHaveRunTasks;

    /** Whether its record in the store says so too. No task starts on it before. */
    private boolean hasDurableUseRecord;

    /**
     * Whether it gets no more tasks, so that it becomes empty and can be handed over to a shard
     * that has too few machines.
     */
    private boolean evacuating;

    /**
     * Whether it is drained only because it was idle; then a refused termination makes it usable.
     */
    private boolean drainedAsIdle;

    /** Whether a termination request without an answer may still take effect. */
    private boolean terminationOutcomeUnknown;

    /** Number of the shard it is handed over to; valid in state {@link State#HANDING_OVER}. */
    private int handoverTargetShard;

    /**
     * Seconds until the cloud interrupts this spot machine, as of the newest heartbeat; NaN without
     * an interruption notice.
     */
    private double interruptionNoticeS = Double.NaN;

    /** Monotonic ms since which heartbeats have listed no task; -1 while there are tasks. */
    private long idleSinceMs = -1;

    /** Moving average of its tasks' run times, each divided by the mean of its job. */
    private double relativeRunTime = 1;

    private int runTimeSamples;

    /** Tasks in its newest heartbeat, exited ones included. */
    private int reportedTaskCount;

    /** Tasks on their way here by task migration, for which the capacity below is reserved. */
    private int reservedTaskCount;

    private double cpusReserved;
    private double gpusReserved;
    private double memGbReserved;

    /** CPUs, GPUs and GB of memory that the tasks on it occupy. */
    private double cpusUsed;

    private double gpusUsed;
    private double memGbUsed;

    /**
     * The attempts that are or may be on it, by {@link #taskKey}. Only {@link ResourceLedger}
     * changes them, together with the sums above.
     */
    private final Object2ObjectOpenHashMap<String, TaskAttempt> tasks =
            new Object2ObjectOpenHashMap<>();

    /** Container images of tasks that ran on it; most likely in its cache still. */
    private final ObjectOpenHashSet<String> cachedImages = new ObjectOpenHashSet<>();

    /** Jobs of which a task failed on it since a task last succeeded on it. */
    private final ObjectOpenHashSet<String> failedJobIds = new ObjectOpenHashSet<>();

    /**
     * Creates a machine in state {@link State#BOOTING}.
     *
     * @param provisionedWallMs wall-clock ms at which it was requested
     */
    public Machine(String id, MachineType type, String zone, boolean spot, long provisionedWallMs) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.provisionedWallMs = provisionedWallMs;
    }

    /** The cloud's name of the machine; never used again for another one. */
    public String id() {
        return id;
    }

    /** The type of the machine. */
    public MachineType type() {
        return type;
    }

    /** The zone that the machine is in. */
    public String zone() {
        return zone;
    }

    /** Whether it is a spot machine, which the cloud may reclaim. */
    public boolean isSpot() {
        return spot;
    }

    /** Wall-clock ms at which it was requested from the cloud. */
    public long provisionedWallMs() {
        return provisionedWallMs;
    }

    /** Address of its worker, from the newest heartbeat; null before the first. */
    public String address() {
        return address;
    }

    /** The worker's incarnation in the newest heartbeat. */
    public long incarnation() {
        return incarnation;
    }

    /** Sequence number of the newest heartbeat within its incarnation. */
    public long sequenceNumber() {
        return sequenceNumber;
    }

    /** Monotonic ms of the newest heartbeat that this leader has received in its term. */
    public long lastHeartbeatAtMs() {
        return lastHeartbeatAtMs;
    }

    /** Monotonic ms of the latest moment at which a reply may have renewed the worker's lease. */
    public long leaseRenewedAtMs() {
        return leaseRenewedAtMs;
    }

    /** Monotonic ms of the latest moment at which a previous leader may have renewed the lease. */
    public long previousLeaderRenewalAtMs() {
        return previousLeaderRenewalAtMs;
    }

    /** Whether this leader has accepted a heartbeat of the worker. */
    public boolean isReconciled() {
        return reconciled;
    }

    /** Newest incarnation of the worker whose lease has expired. */
    public long lastExpiredIncarnation() {
        return lastExpiredIncarnation;
    }

    /** Seconds until the cloud reclaims it, as of the newest heartbeat; NaN without notice. */
    public double interruptionNoticeS() {
        return interruptionNoticeS;
    }

    /** Monotonic ms since which heartbeats have listed no task; -1 while there are tasks. */
    public long idleSinceMs() {
        return idleSinceMs;
    }

    /** Tasks in its newest heartbeat, exited ones included. */
    public int reportedTaskCount() {
        return reportedTaskCount;
    }

    /** Tasks on their way here by task migration. */
    public int reservedTaskCount() {
        return reservedTaskCount;
    }

    /** CPUs that the tasks on it occupy. */
    public double cpusUsed() {
        return cpusUsed;
    }

    /**
     * The attempts that are or may be on it, by {@link #taskKey}; a live view, not to be changed.
     */
    public Map<String, TaskAttempt> tasks() {
        return tasks;
    }

    /** Container images of tasks that ran on it; most likely in its cache still. */
    public Set<String> cachedImages() {
        return cachedImages;
    }

    /** Jobs of which a task failed on it since a task last succeeded on it; a live view. */
    public Set<String> failedJobIds() {
        return failedJobIds;
    }

    // ---- life --------------------------------------------------------------------------------

    /** The stage of the machine's life. */
    public State state() {
        return state;
    }

    /** Stops starting tasks on it for good; only a machine that is booting or up is drained. */
    public void drain() {
        requireState(State.BOOTING, State.UP);
        state = State.DRAINING;
    }

    /** Drains it because it was idle; a refused termination then makes it usable again. */
    public void drainAsIdle() {
        requireState(State.UP);
        state = State.DRAINING;
        drainedAsIdle = true;
    }

    /** Starts its handover to another shard. */
    public void beginHandover(int targetShard) {
        requireState(State.UP);
        state = State.HANDING_OVER;
        handoverTargetShard = targetShard;
    }

    /** Notes that its termination is being requested, possibly not for the first time. */
    public void beginTermination() {
        requireState(State.DRAINING, State.TERMINATING);
        state = State.TERMINATING;
    }

    /**
     * Notes that a termination was not confirmed. A machine that was drained only because it was
     * idle becomes usable again if this request and all earlier ones were refused for certain.
     *
     * @param certainlyRefused whether the cloud certainly did nothing
     */
    public void terminationUnconfirmed(boolean certainlyRefused) {
        terminationOutcomeUnknown |= !certainlyRefused;
        if (drainedAsIdle && !terminationOutcomeUnknown) {
            state = State.UP;
            drainedAsIdle = false;
        }
    }

    private void requireState(State... allowed) {
        if (!List.of(allowed).contains(state)) {
            throw new IllegalStateException(
                    "machine " + id + " is " + state + ", expected one of " + List.of(allowed));
        }
    }

    /** Whether it gets no more tasks, so that it becomes empty and can be handed over. */
    public boolean isEvacuating() {
        return evacuating;
    }

    /** Starts or ends the evacuation. */
    public void setEvacuating(boolean evacuating) {
        this.evacuating = evacuating;
    }

    /** Number of the shard it is handed over to; valid in state {@link State#HANDING_OVER}. */
    public int handoverTargetShard() {
        return handoverTargetShard;
    }

    // ---- use ---------------------------------------------------------------------------------

    /** Whether tasks may have been started on it, by this leader or a previous one. */
    public boolean mayHaveRunTasks() {
        return mayHaveRunTasks;
    }

    /** Notes that tasks may be started on it from now on. */
    public void markUsed() {
        mayHaveRunTasks = true;
    }

    /** Sets what its record says about its use under previous leaders. */
    public void loadUse(boolean recordedAsUsed) {
        mayHaveRunTasks = recordedAsUsed;
        hasDurableUseRecord = recordedAsUsed;
    }

    /** Whether its record in the store says that it may have run tasks. No task starts before. */
    public boolean hasDurableUseRecord() {
        return hasDurableUseRecord;
    }

    /** Sets what its record in the store says. */
    public void setDurableUseRecord(boolean durable) {
        hasDurableUseRecord = durable;
    }

    /**
     * Whether a previous leader may have started tasks on it. Then only a heartbeat made after the
     * failover reconciles it.
     */
    public boolean wasUsedByPreviousLeader() {
        return usedByPreviousLeader;
    }

    /** Sets whether a previous leader may have started tasks on it. */
    public void setUsedByPreviousLeader(boolean used) {
        usedByPreviousLeader = used;
    }

    // ---- heartbeats and lease ----------------------------------------------------------------

    /** Takes over a heartbeat that is newer than all others; a booting machine is up from then. */
    public void applyHeartbeat(WorkerHeartbeat heartbeat, long nowMs) {
        recordHeartbeatOrder(heartbeat.incarnation(), heartbeat.sequenceNumber());
        address = heartbeat.address();
        interruptionNoticeS = heartbeat.interruptionNoticeS();
        lastHeartbeatAtMs = nowMs;
        reconciled = true;
        reportedTaskCount = heartbeat.tasks().size();
        if (state == State.BOOTING) {
            state = State.UP;
        }
    }

    /** Notes the newest heartbeat's place in the order of heartbeats, and nothing else of it. */
    public void recordHeartbeatOrder(long newestIncarnation, long newestSequenceNumber) {
        incarnation = newestIncarnation;
        sequenceNumber = newestSequenceNumber;
    }

    /** Notes a reply of this leader, which renews the worker's lease. */
    public void recordReply(long nowMs) {
        lastReplyAtMs = nowMs;
        leaseRenewedAtMs = nowMs;
    }

    /** Notes that the lease may have been renewed until a moment, at the earliest. */
    public void extendLeaseTo(long renewedAtMs) {
        leaseRenewedAtMs = Math.max(leaseRenewedAtMs, renewedAtMs);
    }

    /** Starts the lease of a new machine. */
    public void startLease(long nowMs) {
        leaseRenewedAtMs = nowMs;
    }

    /** Sets until when a previous leader may have renewed the worker's lease. */
    public void inheritLease(long renewalBoundMs) {
        leaseRenewedAtMs = renewalBoundMs;
        previousLeaderRenewalAtMs = renewalBoundMs;
    }

    /** Notes that the lease of the worker's present incarnation has expired. */
    public void expireIncarnation() {
        lastExpiredIncarnation = incarnation;
    }

    /** Notes when heartbeats began to list no task; a machine with tasks is not idle. */
    public void updateIdleSince(long nowMs) {
        if (!tasks.isEmpty()) {
            idleSinceMs = -1;
        } else if (idleSinceMs < 0) {
            idleSinceMs = nowMs;
        }
    }

    /** Whether the cloud has announced that it will reclaim this spot machine. */
    public boolean hasInterruptionNotice() {
        return !Double.isNaN(interruptionNoticeS);
    }

    /**
     * Infers from a new heartbeat whether the reply to the previous one reached the worker. A
     * worker without a reply waits for its timeout and tries other nodes before it comes back, and
     * in the end its incarnation ends although the replies were sent in time. To be called before
     * the heartbeat's incarnation is taken over.
     */
    public void inferReplyDelivery(WorkerHeartbeat heartbeat, long nowMs, Settings settings) {
        if (lastReplyAtMs < 0) {
            return;
        }
        long sinceReplyMs = nowMs - lastReplyAtMs;
        if (heartbeat.incarnation() > incarnation
                && sinceReplyMs
                        < ClusterConstants.WORKER_RESPONSE_TIMEOUT_MS
                                - ClusterConstants.HEARTBEAT_LATENESS_MARGIN_MS) {
            // Delayed by a network partition and delivered together with the previous heartbeat: a
            // worker without a reply would have waited for its timeout first. Without this check,
            // sound machines were cordoned half a second after a partition had healed.
            return;
        }
        if (heartbeat.incarnation() > incarnation
                && sinceReplyMs < settings.workerLeaseS() * 1000) {
            unacknowledgedReplies =
                    Math.max(
                            unacknowledgedReplies + 1,
                            ClusterConstants.ONE_WAY_PARTITION_MISSED_RESPONSES);
        } else if (heartbeat.incarnation() > incarnation
                || sinceReplyMs
                        > Math.max(
                                ClusterConstants.WORKER_RESPONSE_TIMEOUT_MS,
                                settings.heartbeatIntervalS()
                                                * 1000
                                                * ClusterConstants.MAX_HEARTBEAT_INTERVAL_FACTOR
                                        + ClusterConstants.HEARTBEAT_LATENESS_MARGIN_MS)) {
            unacknowledgedReplies++;
        } else {
            unacknowledgedReplies = 0;
        }
    }

    /**
     * Whether there seems to be a one-way partition: its heartbeats arrive, but replies don't reach
     * it. It gets no tasks until a heartbeat shows that a reply did.
     */
    public boolean hasOneWayPartition() {
        return unacknowledgedReplies >= ClusterConstants.ONE_WAY_PARTITION_MISSED_RESPONSES;
    }

    /** Records that a task took so many times the mean run time of its job's finished tasks. */
    public void recordRunTime(double ratioToMean) {
        relativeRunTime =
                runTimeSamples == 0
                        ? ratioToMean
                        : relativeRunTime
                                + (ratioToMean - relativeRunTime)
                                        * ClusterConstants.SLOWDOWN_SAMPLE_WEIGHT;
        runTimeSamples++;
    }

    /** Whether its tasks take so much longer than elsewhere that it should get no more of them. */
    public boolean isSlow() {
        return runTimeSamples >= ClusterConstants.MIN_SLOWDOWN_SAMPLES
                && relativeRunTime > ClusterConstants.SLOW_MACHINE_FACTOR;
    }

    /** Adds an attempt with the resources that it uses. Called by the ledger only. */
    void addTask(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        tasks.put(taskKey(attempt.job().id(), attempt.taskIndex()), attempt);
        cpusUsed += spec.cpus();
        gpusUsed += spec.gpus();
        memGbUsed += spec.memGb();
        cachedImages.add(spec.image());
        idleSinceMs = -1;
    }

    /** Removes an attempt; returns whether it was there. Called by the ledger only. */
    boolean removeTask(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        if (!tasks.remove(taskKey(attempt.job().id(), attempt.taskIndex()), attempt)) {
            return false;
        }
        cpusUsed = tasks.isEmpty() ? 0 : cpusUsed - spec.cpus();
        gpusUsed = tasks.isEmpty() ? 0 : gpusUsed - spec.gpus();
        memGbUsed = tasks.isEmpty() ? 0 : memGbUsed - spec.memGb();
        return true;
    }

    /** The key of a task in {@link #tasks}: job and array index. */
    public static String taskKey(String jobId, int index) {
        return jobId + "/" + index;
    }

    /** CPUs neither used nor reserved; may be negative. */
    public double cpusFree() {
        return type.cpus() - cpusUsed - cpusReserved;
    }

    /** GPUs neither used nor reserved; may be negative. */
    public double gpusFree() {
        return type.gpus() - gpusUsed - gpusReserved;
    }

    /** GB of memory neither used nor reserved; may be negative. */
    public double memGbFree() {
        return type.memGb() - memGbUsed - memGbReserved;
    }

    /** Reserves capacity for so many tasks that migrate here; a negative number releases it. */
    public void reserve(JobSpec spec, int taskCount) {
        reservedTaskCount += taskCount;
        cpusReserved = reservedTaskCount == 0 ? 0 : cpusReserved + taskCount * spec.cpus();
        gpusReserved = reservedTaskCount == 0 ? 0 : gpusReserved + taskCount * spec.gpus();
        memGbReserved = reservedTaskCount == 0 ? 0 : memGbReserved + taskCount * spec.memGb();
    }

    /** Whether it has no tasks and no capacity is reserved on it. */
    public boolean isIdle() {
        return tasks.isEmpty() && reservedTaskCount == 0;
    }

    /** Returns a copy of the tasks, for callers that add or remove some while they iterate. */
    public List<TaskAttempt> snapshotTasks() {
        return new ArrayList<>(tasks.values());
    }
}
