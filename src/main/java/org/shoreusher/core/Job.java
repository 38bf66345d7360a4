package org.shoreusher.core;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.BitSet;
import org.shoreusher.settings.Tuning;

/**
 * The state of a job at the leader of its shard. Every task is pending, active or completed. A task
 * is named by its index, from 0 on.
 */
final class Job {
    /** The user's id of the job. */
    final String id;

    /** What the user asked for. */
    final JobSpec spec;

    /** When the job was accepted: ms since the epoch, by the clock of the accepting node. */
    final long acceptedMs;

    /** Tasks that the leader knows to be completed. */
    final BitSet done = new BitSet();

    /** Completed tasks whose completion the store has recorded. */
    BitSet durable = new BitSet();

    /** Tasks that are to be started. Change it through {@link #setWaiting} only. */
    final BitSet waiting = new BitSet();

    /**
     * The current attempt of each active task, by task index. Surplus attempts that are only being
     * stopped are not in it.
     */
    final Int2ObjectOpenHashMap<TaskAttempt> live = new Int2ObjectOpenHashMap<>();

    /** Machines on which a task of the job has failed. */
    final ObjectOpenHashSet<String> failedOn = new ObjectOpenHashSet<>();

    /**
     * The index of the completion record that holds each slice of the job's tasks; -1: none yet.
     * See {@link FinishedRecords}.
     */
    int[] chunks = {};

    /** The index of the record that holds the job's high-water mark; -1: none yet. */
    int markChunk = -1;

    /** The number of tasks in {@link #waiting}. */
    int waitingCount;

    /**
     * The durable high-water mark: only tasks with a lower index may be started. A successor reads
     * it from the store and so knows that no other task has ever been started.
     */
    int startBelow;

    /** The job is in a terminal state or belongs to another shard: none of its tasks may start. */
    boolean closed;

    /** A write of the terminal state awaits its reply. */
    boolean finishing;

    /**
     * The zones of the job's active tasks are not yet known. That is so for a job with a zone rule
     * that was started under a previous leader, until all machines have sent a heartbeat.
     */
    boolean zonesUnknown;

    /**
     * The zone that should get the larger half of the replicas, for a service that is spread across
     * zones and has an odd number of them; null: any zone.
     */
    String largerHalfZone;

    /** The number of starts that this leader has ordered or inherited. */
    int startedCount;

    private int observedCount;
    private double observedSumS;

    /** Failed attempts; a replica that has run for long resets it. */
    private int failures;

    /** Until when no task is started after failures; steady ms. */
    private long pausedUntilMs = Long.MIN_VALUE;

    /** A job without any pending task. */
    Job(String id, JobSpec spec, long acceptedMs) {
        this.id = id;
        this.spec = spec;
        this.acceptedMs = acceptedMs;
    }

    /** Marks a task as pending, or as not pending. */
    void setWaiting(int index, boolean value) {
        if (waiting.get(index) != value) {
            waiting.set(index, value);
            waitingCount += value ? 1 : -1;
        }
    }

    /** Whether any task has ever been started, as far as this leader knows. */
    boolean begun() {
        return startedCount > 0 || !live.isEmpty() || !done.isEmpty();
    }

    /** Marks as pending every task from an index on that is neither completed nor active. */
    void waitFrom(int index) {
        for (int i = done.nextClearBit(index); i < spec.tasks(); i = done.nextClearBit(i + 1)) {
            if (live.get(i) == null) {
                setWaiting(i, true);
            }
        }
    }

    /**
     * The lowest high-water mark under which the next {@code count} pending tasks may be started; 0
     * if no task is pending.
     */
    int belowFor(int count) {
        int index = -1;
        for (int i = 0; i < count; i++) {
            int next = waiting.nextSetBit(index + 1);
            if (next < 0) {
                break;
            }
            index = next;
        }
        return index + 1;
    }

    /** Records how long a completed task ran. */
    void observe(double seconds) {
        observedCount++;
        observedSumS += seconds;
    }

    /** The number of recorded run times. */
    int observedCount() {
        return observedCount;
    }

    /** The mean of the recorded run times, in seconds; NaN if there is none. */
    double observedMeanS() {
        return observedSumS / observedCount;
    }

    /** Whether all tasks are completed. Never true of a service. */
    boolean complete() {
        return spec.shape().ends() && done.cardinality() >= spec.tasks();
    }

    /** Whether starts are delayed because attempts have failed. */
    boolean paused(long steadyMs) {
        return steadyMs < pausedUntilMs;
    }

    /**
     * Records a failed attempt. While no task has completed, each further failure doubles the delay
     * before the next start, up to {@link Tuning#FAIL_PAUSE_MAX_MS}.
     */
    void failed(String machine, long steadyMs) {
        failedOn.add(machine);
        failures++;
        if (done.isEmpty() && failures > 1) {
            long pause = Tuning.FAIL_PAUSE_MS << Math.min(failures - 2, 10);
            pausedUntilMs = steadyMs + Math.min(pause, Tuning.FAIL_PAUSE_MAX_MS);
        }
    }

    /**
     * Forgets all failures: a replica has run for long, so the cause was a machine or has passed.
     */
    void steady() {
        failures = 0;
        failedOn.clear();
    }

    /**
     * Whether the job itself is probably faulty: its tasks have failed on several machines and none
     * has completed.
     */
    boolean suspect() {
        return done.isEmpty() && failedOn.size() > 1;
    }
}
