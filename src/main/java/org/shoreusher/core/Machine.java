package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * What the leader of a shard knows of one machine of that shard. Times are steady-clock ms unless a
 * name says otherwise.
 */
final class Machine {
    /**
     * The stages of a machine's life; a machine only ever moves to a later one, except that a
     * refused termination of an idle machine brings it back to {@link #UP}.
     */
    enum State {
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
    final String id;

    final MachineType type;
    final String zone;
    final boolean spot;

    /**
     * Wall-clock ms at which it was requested from the cloud, or its age in the cloud's list says
     * so.
     */
    final long provisionedWallMs;

    State state = State.BOOTING;

    /** Address of its worker, from the newest heartbeat; null before the first. */
    String address;

    /** The worker's session in the newest heartbeat. A new session starts with no tasks. */
    long session;

    /** Sequence number of the newest heartbeat within its session. */
    long sequenceNumber;

    /** Steady ms of the newest heartbeat that this leader has received in its term. */
    long lastHeartbeatAtMs = Long.MIN_VALUE / 2;

    /**
     * Steady ms of the latest moment at which a reply, of this leader or a previous one, may have
     * renewed the worker's lease. The lease expires one worker lease after it.
     */
    long leaseRenewedAtMs;

    /**
     * Steady ms of the latest moment at which a previous leader may have renewed the worker's
     * lease.
     */
    long previousLeaderRenewalAtMs;

    /** Steady ms of the last reply that this leader sent; -1 if none. */
    long lastReplyAtMs = -1;

    /** Replies in a row that seem not to have reached the worker. */
    private int unacknowledgedReplies;

    /**
     * Whether this leader has accepted a heartbeat of the worker, so that its task list replaces
     * what was inferred from the store.
     */
    boolean reconciled;

    /**
     * Whether a previous leader may have started tasks on it. Then only a heartbeat made after the
     * failover reconciles it.
     */
    boolean usedByPreviousLeader;

    /**
     * Newest worker session whose lease has expired. A heartbeat of this session or an older one
     * arrives late and lists tasks that no longer run.
     */
    long lastExpiredSession;

    /**
     * Whether tasks may have been started on it, by this leader or a previous one. Never false
     * again once true.
     */
    boolean mayHaveRunTasks;

    /** Whether its record in the store says so too. No task starts on it before. */
    boolean hasDurableUseRecord;

    /**
     * Whether it gets no more tasks, so that it becomes empty and can be handed over to a shard
     * that has too few machines.
     */
    boolean evacuating;

    /**
     * Whether it is drained only because it was idle; then a refused termination makes it usable.
     */
    boolean drainedAsIdle;

    /** Whether a termination request without an answer may still take effect. */
    boolean terminationOutcomeUnknown;

    /** Number of the shard it is handed over to; valid in state {@link State#HANDING_OVER}. */
    int handoverTargetShard;

    /**
     * Seconds until the cloud interrupts this spot machine, as of the newest heartbeat; NaN without
     * an interruption notice.
     */
    double interruptionNoticeS = Double.NaN;

    /** Steady ms since which heartbeats have listed no task; -1 while there are tasks. */
    long idleSinceMs = -1;

    /** Moving average of its tasks' run times, each divided by the mean of its job. */
    private double relativeRunTime = 1;

    private int runTimeSamples;

    /** Tasks in its newest heartbeat, exited ones included. */
    int reportedTaskCount;

    /** Tasks on their way here by task migration, for which the capacity below is reserved. */
    int reservedTaskCount;

    private double cpusReserved;
    private double gpusReserved;
    private double memGbReserved;

    /** CPUs, GPUs and GB of memory that the tasks on it occupy. */
    double cpusUsed;

    double gpusUsed;
    double memGbUsed;

    /**
     * The attempts that are or may be on it, by {@link #taskKey}. Only {@link ResourceLedger}
     * changes them, together with the sums above.
     */
    final Object2ObjectOpenHashMap<String, TaskAttempt> tasks = new Object2ObjectOpenHashMap<>();

    /** Container images of tasks that ran on it; most likely in its cache still. */
    final ObjectOpenHashSet<String> cachedImages = new ObjectOpenHashSet<>();

    /** Jobs of which a task failed on it since a task last succeeded on it. */
    final ObjectOpenHashSet<String> failedJobIds = new ObjectOpenHashSet<>();

    /**
     * Creates a machine in state {@link State#BOOTING}.
     *
     * @param provisionedWallMs wall-clock ms at which it was requested
     */
    Machine(String id, MachineType type, String zone, boolean spot, long provisionedWallMs) {
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
    void inferReplyDelivery(WorkerReport heartbeat, long nowMs, Settings settings) {
        if (lastReplyAtMs < 0) {
            return;
        }
        long sinceReplyMs = nowMs - lastReplyAtMs;
        if (heartbeat.incarnation() > session
                && sinceReplyMs
                        < Tuning.WORKER_RESPONSE_TIMEOUT_MS - Tuning.HEARTBEAT_LATENESS_MARGIN_MS) {
            // Delayed by a network partition and delivered together with the previous heartbeat: a
            // worker without a reply would have waited for its timeout first. Without this check,
            // sound machines were cordoned half a second after a partition had healed.
            return;
        }
        if (heartbeat.incarnation() > session && sinceReplyMs < settings.workerLeaseS() * 1000) {
            unacknowledgedReplies =
                    Math.max(unacknowledgedReplies + 1, Tuning.ONE_WAY_PARTITION_MISSED_RESPONSES);
        } else if (heartbeat.incarnation() > session
                || sinceReplyMs
                        > Math.max(
                                Tuning.WORKER_RESPONSE_TIMEOUT_MS,
                                settings.heartbeatIntervalS()
                                                * 1000
                                                * Tuning.MAX_HEARTBEAT_INTERVAL_FACTOR
                                        + Tuning.HEARTBEAT_LATENESS_MARGIN_MS)) {
            unacknowledgedReplies++;
        } else {
            unacknowledgedReplies = 0;
        }
    }

    /**
     * Whether there seems to be a one-way partition: its heartbeats arrive, but replies don't reach
     * it. It gets no tasks until a heartbeat shows that a reply did.
     */
    boolean hasOneWayPartition() {
        return unacknowledgedReplies >= Tuning.ONE_WAY_PARTITION_MISSED_RESPONSES;
    }

    /** Records that a task took so many times the mean run time of its job's finished tasks. */
    void recordRunTime(double ratioToMean) {
        relativeRunTime =
                runTimeSamples == 0
                        ? ratioToMean
                        : relativeRunTime
                                + (ratioToMean - relativeRunTime) * Tuning.SLOWDOWN_SAMPLE_WEIGHT;
        runTimeSamples++;
    }

    /** Whether its tasks take so much longer than elsewhere that it should get no more of them. */
    boolean isSlow() {
        return runTimeSamples >= Tuning.MIN_SLOWDOWN_SAMPLES
                && relativeRunTime > Tuning.SLOW_MACHINE_FACTOR;
    }

    /** The key of a task in {@link #tasks}: job and array index. */
    static String taskKey(String jobId, int index) {
        return jobId + "/" + index;
    }

    /** CPUs neither used nor reserved; may be negative. */
    double cpusFree() {
        return type.cpus() - cpusUsed - cpusReserved;
    }

    /** GPUs neither used nor reserved; may be negative. */
    double gpusFree() {
        return type.gpus() - gpusUsed - gpusReserved;
    }

    /** GB of memory neither used nor reserved; may be negative. */
    double memGbFree() {
        return type.memGb() - memGbUsed - memGbReserved;
    }

    /** Reserves capacity for so many tasks that migrate here; a negative number releases it. */
    void reserve(JobSpec spec, int taskCount) {
        reservedTaskCount += taskCount;
        cpusReserved = reservedTaskCount == 0 ? 0 : cpusReserved + taskCount * spec.cpus();
        gpusReserved = reservedTaskCount == 0 ? 0 : gpusReserved + taskCount * spec.gpus();
        memGbReserved = reservedTaskCount == 0 ? 0 : memGbReserved + taskCount * spec.memGb();
    }

    /** Whether it has no tasks and no capacity is reserved on it. */
    boolean isIdle() {
        return tasks.isEmpty() && reservedTaskCount == 0;
    }

    /** Returns a copy of the tasks, for callers that add or remove some while they iterate. */
    List<TaskAttempt> snapshotTasks() {
        return new ArrayList<>(tasks.values());
    }
}
