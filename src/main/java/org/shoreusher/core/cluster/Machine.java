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

/** The state of a machine at the leader of its shard. */
public final class Machine {
    /**
     * The lifecycle states. A machine only moves to a later state, except that a rejected
     * termination of an idle machine returns it to {@link #UP}.
     */
    public enum State {
        /** Provisioned; its worker has sent no heartbeat to this leader yet. */
        BOOTING,
        /** Its worker has sent a heartbeat to this leader. */
        UP,
        /** Its handover to another shard is being written to the store, not confirmed yet. */
        HANDING_OVER,
        /** No new task is started on it, and it is terminated once it has no tasks. */
        DRAINING,
        /** Its termination has been requested from the cloud, not confirmed yet. */
        TERMINATING
    }

    /** Value of {@link #idleSinceMs} while no heartbeat has shown the machine to be idle. */
    private static final long NOT_KNOWN_IDLE_MS = -1;

    private final String id;
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private final long provisionedWallMs;
    private final WorkerConnection worker = new WorkerConnection();
    private final MachineResources resources;
    private final MachineSlowdown slowdown = new MachineSlowdown();
    private State state = State.BOOTING;

    /** Whether it is being drained only because it was idle. */
    private boolean drainedAsIdle;

    /** Whether a termination request without a reply may still take effect. */
    private boolean terminationOutcomeUnknown;

    private int handoverTargetShard;
    private boolean evacuating;
    private boolean mayHaveRunTasks;
    private boolean hasDurableUseRecord;

    /** Monotonic ms; start of the time in which heartbeats have listed no task. */
    private long idleSinceMs = NOT_KNOWN_IDLE_MS;

    private final Object2ObjectOpenHashMap<String, TaskAttempt> attempts =
            new Object2ObjectOpenHashMap<>();
    private final ObjectOpenHashSet<String> cachedImages = new ObjectOpenHashSet<>();
    private final ObjectOpenHashSet<String> failedJobIds = new ObjectOpenHashSet<>();

    /** Creates a machine in state {@link State#BOOTING}. */
    public Machine(String id, MachineType type, String zone, boolean spot, long provisionedWallMs) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.provisionedWallMs = provisionedWallMs;
        resources = new MachineResources(type);
    }

    /** The id that the cloud assigned; never reused for another machine. */
    public String id() {
        return id;
    }

    /** The machine type, with its capacity and prices. */
    public MachineType type() {
        return type;
    }

    /** The availability zone of the machine. */
    public String zone() {
        return zone;
    }

    /** Whether it is a spot machine, which the cloud may reclaim. */
    public boolean isSpot() {
        return spot;
    }

    /**
     * Wall-clock ms by which the cloud had certainly provisioned it. From a record of a previous
     * version, the time at which the request was sent.
     */
    public long provisionedWallMs() {
        return provisionedWallMs;
    }

    /** The connection to its worker: heartbeats, lease and delivery of responses. */
    public WorkerConnection worker() {
        return worker;
    }

    /** Its CPUs, GPUs and memory: used, reserved and free. */
    public MachineResources resources() {
        return resources;
    }

    /** The lifecycle state. */
    public State state() {
        return state;
    }

    /** Stops starting tasks on it permanently; the machine must be booting or up. */
    public void drain() {
        requireState(State.BOOTING, State.UP);
        state = State.DRAINING;
    }

    /** Drains it because it was idle; a rejected termination makes it usable again. */
    public void drainAsIdle() {
        requireState(State.UP);
        state = State.DRAINING;
        drainedAsIdle = true;
    }

    /** Begins its handover to another shard; the machine must be up. */
    public void beginHandover(int targetShard) {
        requireState(State.UP);
        state = State.HANDING_OVER;
        handoverTargetShard = targetShard;
    }

    /** Begins or repeats its termination; the machine must be draining or terminating. */
    public void beginTermination() {
        requireState(State.DRAINING, State.TERMINATING);
        state = State.TERMINATING;
    }

    /**
     * Handles a termination that was not confirmed. A machine that was drained only because it was
     * idle becomes usable again if this request and all earlier ones were certainly rejected.
     * Without this, tasks would remain pending during an outage of the cloud's API although idle
     * machines that await termination could run them.
     *
     * @param certainlyRejected whether the cloud has certainly not carried out the request
     */
    public void handleUnconfirmedTermination(boolean certainlyRejected) {
        terminationOutcomeUnknown |= !certainlyRejected;
        if (drainedAsIdle && !terminationOutcomeUnknown) {
            state = State.UP;
            drainedAsIdle = false;
        }
    }

    private void requireState(State... allowed) {
        if (!List.of(allowed).contains(state)) {
            throw new IllegalStateException(
                    "state of machine " + id + " is " + state + ", expected " + List.of(allowed));
        }
    }

    /** Whether it gets no new tasks and is to be handed over to another shard once empty. */
    public boolean isEvacuating() {
        return evacuating;
    }

    /** Begins or ends the evacuation; see {@link #isEvacuating}. */
    public void setEvacuating(boolean evacuating) {
        this.evacuating = evacuating;
    }

    /** The number of the shard it is handed over to; valid only in {@link State#HANDING_OVER}. */
    public int handoverTargetShard() {
        return handoverTargetShard;
    }

    /** Whether any leader may have started tasks on it; stays true once it is true. */
    public boolean mayHaveRunTasks() {
        return mayHaveRunTasks;
    }

    /** Records that tasks may be started on it from now on. */
    public void markUsed() {
        mayHaveRunTasks = true;
    }

    /** Sets whether previous leaders may have started tasks on it, as read from its record. */
    public void loadRecordedUse(boolean recordedAsUsed) {
        mayHaveRunTasks = recordedAsUsed;
        hasDurableUseRecord = recordedAsUsed;
    }

    /** Whether the store has recorded that it may have run tasks; a condition for any start. */
    public boolean hasDurableUseRecord() {
        return hasDurableUseRecord;
    }

    /** Sets whether the store has recorded that it may have run tasks. */
    public void setDurableUseRecord(boolean durable) {
        hasDurableUseRecord = durable;
    }

    /** Applies a heartbeat that is newer than all previous ones; a booting machine becomes up. */
    public void applyHeartbeat(WorkerHeartbeat heartbeat, long nowMs) {
        worker.applyHeartbeat(heartbeat, nowMs);
        if (state == State.BOOTING) {
            state = State.UP;
        }
    }

    /**
     * The attempts that are or may be on it, by {@link #taskKey}; a live view. Only {@link
     * ResourceLedger} adds and removes them.
     */
    public Map<String, TaskAttempt> attempts() {
        return attempts;
    }

    /** Returns a copy of the attempts, for callers that add or remove some while they iterate. */
    public List<TaskAttempt> snapshotAttempts() {
        return new ArrayList<>(attempts.values());
    }

    /** Whether it has no tasks and no capacity is reserved on it. */
    public boolean isIdle() {
        return attempts.isEmpty() && resources.reservedTaskCount() == 0;
    }

    /** Whether a heartbeat has shown that it is idle since it last had tasks. */
    public boolean isIdleTimeKnown() {
        return idleSinceMs != NOT_KNOWN_IDLE_MS;
    }

    /**
     * Time in ms for which heartbeats have listed no task; {@code nowMs + 1} if that is not known.
     */
    public long idleForMs(long nowMs) {
        return nowMs - idleSinceMs;
    }

    /** Starts the idle time after a heartbeat, unless it has started or the machine has tasks. */
    public void updateIdleSince(long nowMs) {
        if (!attempts.isEmpty()) {
            idleSinceMs = NOT_KNOWN_IDLE_MS;
        } else if (!isIdleTimeKnown()) {
            idleSinceMs = nowMs;
        }
    }

    /** Container images of tasks that ran on it, which are most likely still in its cache. */
    public Set<String> cachedImages() {
        return cachedImages;
    }

    /** Ids of jobs with a failed task on it since the last successful task on it; a live view. */
    public Set<String> failedJobIds() {
        return failedJobIds;
    }

    /** Records a task's run time, divided by the mean run time of its job's completed tasks. */
    public void recordRunTime(double ratioToMean) {
        slowdown.record(ratioToMean);
    }

    /** Whether its tasks take so much longer than elsewhere that it should get no new ones. */
    public boolean isSlow() {
        return slowdown.isSlow();
    }

    /** Adds an attempt and uses its resources. Called by {@link ResourceLedger} only. */
    void addAttempt(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        attempts.put(taskKey(attempt.job().id(), attempt.taskIndex()), attempt);
        resources.use(spec);
        cachedImages.add(spec.image());
        idleSinceMs = NOT_KNOWN_IDLE_MS;
    }

    /** Removes an attempt if it is present; returns whether it was. See {@link ResourceLedger}. */
    boolean removeAttempt(TaskAttempt attempt) {
        if (!attempts.remove(taskKey(attempt.job().id(), attempt.taskIndex()), attempt)) {
            return false;
        }
        resources.release(attempt.job().spec(), attempts.isEmpty());
        return true;
    }

    /** Returns the key of a task in {@link #attempts}: JOB_ID/INDEX. */
    public static String taskKey(String jobId, int index) {
        return jobId + "/" + index;
    }
}
