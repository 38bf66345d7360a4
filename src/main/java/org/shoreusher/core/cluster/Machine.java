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

/** What the leader of a shard knows of one machine of that shard. */
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

    /** Value of {@link #idleSinceMs} while it is not known that the machine is idle. */
    private static final long NOT_KNOWN_IDLE_MS = -1;

    private final String id;
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private final long provisionedWallMs;
    private final WorkerConnection worker = new WorkerConnection();
    private final MachineResources resources;
    private final RelativeRunTime relativeRunTime = new RelativeRunTime();
    private State state = State.BOOTING;

    /** Whether it is drained only because it was idle. */
    private boolean drainedAsIdle;

    /** Whether a termination request without an answer may still take effect. */
    private boolean terminationOutcomeUnknown;

    private int handoverTargetShard;
    private boolean evacuating;
    private boolean mayHaveRunTasks;
    private boolean hasDurableUseRecord;

    /** Monotonic ms since which heartbeats have listed no task. */
    private long idleSinceMs = NOT_KNOWN_IDLE_MS;

    private final Object2ObjectOpenHashMap<String, TaskAttempt> tasks =
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

    /** Wall-clock ms at which it was requested, or by its age in the cloud's list. */
    public long provisionedWallMs() {
        return provisionedWallMs;
    }

    /** What is known of its worker: heartbeats, lease and delivery of replies. */
    public WorkerConnection worker() {
        return worker;
    }

    /** Its CPUs, GPUs and memory: used, reserved and free. */
    public MachineResources resources() {
        return resources;
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
     * idle becomes usable again if this request and all earlier ones were refused for certain:
     * otherwise tasks would wait during an outage of the cloud's API beside machines that wait for
     * their termination.
     *
     * @param certainlyRefused whether the cloud certainly did nothing
     */
    public void handleUnconfirmedTermination(boolean certainlyRefused) {
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

    /** Whether it gets no more tasks, to be handed over to another shard once it is empty. */
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

    /** Whether any leader may have started tasks on it; never false again once true. */
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

    /** Takes over a heartbeat that is newer than all others; a booting machine is up from then. */
    public void applyHeartbeat(WorkerHeartbeat heartbeat, long nowMs) {
        worker.applyHeartbeat(heartbeat, nowMs);
        if (state == State.BOOTING) {
            state = State.UP;
        }
    }

    // ---- tasks -------------------------------------------------------------------------------

    /**
     * The attempts that are or may be on it, by {@link #taskKey}; a live view. Only {@link
     * ResourceLedger} adds and removes them.
     */
    public Map<String, TaskAttempt> tasks() {
        return tasks;
    }

    /** Returns a copy of the tasks, for callers that add or remove some while they iterate. */
    public List<TaskAttempt> snapshotTasks() {
        return new ArrayList<>(tasks.values());
    }

    /** Whether it has no tasks and no capacity is reserved on it. */
    public boolean isIdle() {
        return tasks.isEmpty() && resources.reservedTaskCount() == 0;
    }

    /** Whether a heartbeat has shown that it has no tasks, since it last had some. */
    public boolean isIdleTimeKnown() {
        return idleSinceMs != NOT_KNOWN_IDLE_MS;
    }

    /** Time in ms for which heartbeats have listed no task; very long if that is not known. */
    public long idleForMs(long nowMs) {
        return nowMs - idleSinceMs;
    }

    /** Notes when heartbeats began to list no task; a machine with tasks is not idle. */
    public void updateIdleSince(long nowMs) {
        if (!tasks.isEmpty()) {
            idleSinceMs = NOT_KNOWN_IDLE_MS;
        } else if (!isIdleTimeKnown()) {
            idleSinceMs = nowMs;
        }
    }

    /** Container images of tasks that ran on it; most likely in its cache still. */
    public Set<String> cachedImages() {
        return cachedImages;
    }

    /** Jobs of which a task failed on it since a task last succeeded on it; a live view. */
    public Set<String> failedJobIds() {
        return failedJobIds;
    }

    /** Records that a task took so many times the mean run time of its job's finished tasks. */
    public void recordRunTime(double ratioToMean) {
        relativeRunTime.record(ratioToMean);
    }

    /** Whether its tasks take so much longer than elsewhere that it should get no more of them. */
    public boolean isSlow() {
        return relativeRunTime.isSlow();
    }

    /** Adds an attempt with the resources that it uses. Called by the ledger only. */
    void addTask(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        tasks.put(taskKey(attempt.job().id(), attempt.taskIndex()), attempt);
        resources.use(spec);
        cachedImages.add(spec.image());
        idleSinceMs = NOT_KNOWN_IDLE_MS;
    }

    /** Removes an attempt; returns whether it was there. Called by the ledger only. */
    boolean removeTask(TaskAttempt attempt) {
        if (!tasks.remove(taskKey(attempt.job().id(), attempt.taskIndex()), attempt)) {
            return false;
        }
        resources.release(attempt.job().spec(), tasks.isEmpty());
        return true;
    }

    /** The key of a task in {@link #tasks}: job and array index. */
    public static String taskKey(String jobId, int index) {
        return jobId + "/" + index;
    }
}
