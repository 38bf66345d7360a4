package org.shoreusher.core.cluster;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.settings.Settings;

/**
 * What the leader of a shard knows of one machine of that shard. Times are steady-clock ms unless a
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
    public final String id;

    public final MachineType type;
    public final String zone;
    public final boolean spot;

    /**
     * Wall-clock ms at which it was requested from the cloud, or its age in the cloud's list says
     * so.
     */
    public final long provisionedWallMs;

    public State state = State.BOOTING;

    /** Address of its worker, from the newest heartbeat; null before the first. */
    public String address;

    /** The worker's session in the newest heartbeat. A new session starts with no tasks. */
    public long session;

    /** Sequence number of the newest heartbeat within its session. */
    public long sequenceNumber;

    /** Steady ms of the newest heartbeat that this leader has received in its term. */
    public long lastHeartbeatAtMs = Long.MIN_VALUE / 2;

    /**
     * Steady ms of the latest moment at which a reply, of this leader or a previous one, may have
     * renewed the worker's lease. The lease expires one worker lease after it.
     */
    public long leaseRenewedAtMs;

    /**
     * Steady ms of the latest moment at which a previous leader may have renewed the worker's
     * lease.
     */
    public long previousLeaderRenewalAtMs;

    /** Steady ms of the last reply that this leader sent; -1 if none. */
    public long lastReplyAtMs = -1;

    /** Replies in a row that seem not to have reached the worker. */
    private int unacknowledgedReplies;

    /**
     * Whether this leader has accepted a heartbeat of the worker, so that its task list replaces
     * what was inferred from the store.
     */
    public boolean reconciled;

    /**
     * Whether a previous leader may have started tasks on it. Then only a heartbeat made after the
     * failover reconciles it.
     */
    public boolean usedByPreviousLeader;

    /**
     * Newest worker session whose lease has expired. A heartbeat of this session or an older one
     * arrives late and lists tasks that no longer run.
     */
    public long lastExpiredSession;

    /**
     * Whether tasks may have been started on it, by this leader or a previous one. Never false
     * again once true.
     */
    public boolean mayHaveRunTasks;

    /** Whether its record in the store says so too. No task starts on it before. */
    public boolean hasDurableUseRecord;

    /**
     * Whether it gets no more tasks, so that it becomes empty and can be handed over to a shard
     * that has too few machines.
     */
    public boolean evacuating;

    /**
     * Whether it is drained only because it was idle; then a refused termination makes it usable.
     */
    public boolean drainedAsIdle;

    /** Whether a termination request without an answer may still take effect. */
    public boolean terminationOutcomeUnknown;

    /** Number of the shard it is handed over to; valid in state {@link State#HANDING_OVER}. */
    public int handoverTargetShard;

    /**
     * Seconds until the cloud interrupts this spot machine, as of the newest heartbeat; NaN without
     * an interruption notice.
     */
    public double interruptionNoticeS = Double.NaN;

    /** Steady ms since which heartbeats have listed no task; -1 while there are tasks. */
    public long idleSinceMs = -1;

    /** Moving average of its tasks' run times, each divided by the mean of its job. */
    private double relativeRunTime = 1;

    private int runTimeSamples;

    /** Tasks in its newest heartbeat, exited ones included. */
    public int reportedTaskCount;

    /** Tasks on their way here by task migration, for which the capacity below is reserved. */
    public int reservedTaskCount;

    private double cpusReserved;
    private double gpusReserved;
    private double memGbReserved;

    /** CPUs, GPUs and GB of memory that the tasks on it occupy. */
    public double cpusUsed;

    double gpusUsed;
    double memGbUsed;

    /**
     * The attempts that are or may be on it, by {@link #taskKey}. Only {@link ResourceLedger}
     * changes them, together with the sums above.
     */
    public final Object2ObjectOpenHashMap<String, TaskAttempt> tasks =
            new Object2ObjectOpenHashMap<>();

    /** Container images of tasks that ran on it; most likely in its cache still. */
    public final ObjectOpenHashSet<String> cachedImages = new ObjectOpenHashSet<>();

    /** Jobs of which a task failed on it since a task last succeeded on it. */
    public final ObjectOpenHashSet<String> failedJobIds = new ObjectOpenHashSet<>();

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

    /**
     * Infers from a new heartbeat whether the reply to the previous one reached the worker. A
     * worker without a reply waits for its timeout and tries other nodes before it comes back, and
     * in the end its session ends although the replies were sent in time. To be called before the
     * heartbeat's session is taken over.
     */
    public void inferReplyDelivery(WorkerHeartbeat heartbeat, long nowMs, Settings settings) {
        if (lastReplyAtMs < 0) {
            return;
        }
        long sinceReplyMs = nowMs - lastReplyAtMs;
        if (heartbeat.incarnation() > session
                && sinceReplyMs
                        < ClusterConstants.WORKER_RESPONSE_TIMEOUT_MS
                                - ClusterConstants.HEARTBEAT_LATENESS_MARGIN_MS) {
            // Delayed by a network partition and delivered together with the previous heartbeat: a
            // worker without a reply would have waited for its timeout first. Without this check,
            // sound machines were cordoned half a second after a partition had healed.
            return;
        }
        if (heartbeat.incarnation() > session && sinceReplyMs < settings.workerLeaseS() * 1000) {
            unacknowledgedReplies =
                    Math.max(
                            unacknowledgedReplies + 1,
                            ClusterConstants.ONE_WAY_PARTITION_MISSED_RESPONSES);
        } else if (heartbeat.incarnation() > session
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
