package org.shoreusher.core;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.BitSet;
import org.shoreusher.settings.Tuning;

/** An owner's knowledge of one of its jobs. Every task is waiting, live, or finished. */
final class Job {
    final String id;
    final JobSpec spec;
    final long acceptedMs;

    /** Finished, as far as the owner knows. */
    final BitSet done = new BitSet();

    /** Finished, and durably recorded. */
    BitSet durable = new BitSet();

    final BitSet waiting = new BitSet();

    /** Where each live task is; tasks that are only being hunted down are not here. */
    final Int2ObjectOpenHashMap<TaskAttempt> live = new Int2ObjectOpenHashMap<>();

    final ObjectOpenHashSet<String> failedOn = new ObjectOpenHashSet<>();

    /**
     * Which record of finished tasks each slice of its tasks is in, -1 for none yet; see {@link
     * FinishedRecords}.
     */
    int[] chunks = {};

    /** Which record of marks it is in. */
    int markChunk = -1;

    int waitingCount;

    /**
     * Only tasks below this number may be started: the store says so, hence a taker knows that no
     * other ever was.
     */
    int startBelow;

    /** Final in the store, or taken away: nothing of it may start. */
    boolean closed;

    boolean finishing;

    /**
     * Which zones its tasks are in is not known: it has a rule on them, was begun under an owner
     * before, and not all machines are heard.
     */
    boolean zonesUnknown;

    /**
     * The zone for the larger half of a scattered service with an odd number of replicas; null:
     * any.
     */
    String largerHalfZone;

    /** Tasks that have been started at least once, as far as this owner knows. */
    int startedCount;

    private int observedCount;
    private double observedSumS;
    private int failures;
    private long pausedUntilMs = Long.MIN_VALUE;

    Job(String id, JobSpec spec, long acceptedMs) {
        this.id = id;
        this.spec = spec;
        this.acceptedMs = acceptedMs;
    }

    void setWaiting(int index, boolean value) {
        if (waiting.get(index) != value) {
            waiting.set(index, value);
            waitingCount += value ? 1 : -1;
        }
    }

    /** Whether any of its tasks has ever been on a machine, as far as this owner knows. */
    boolean begun() {
        return startedCount > 0 || !live.isEmpty() || !done.isEmpty();
    }

    /** Lets every task from a number on wait that is not finished. */
    void waitFrom(int index) {
        for (int i = done.nextClearBit(index); i < spec.tasks(); i = done.nextClearBit(i + 1)) {
            if (live.get(i) == null) {
                setWaiting(i, true);
            }
        }
    }

    /**
     * Up to which number tasks must be startable so that the next so many of those waiting are; 0
     * if none waits.
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

    void observe(double seconds) {
        observedCount++;
        observedSumS += seconds;
    }

    int observedCount() {
        return observedCount;
    }

    double observedMeanS() {
        return observedSumS / observedCount;
    }

    boolean complete() {
        return spec.shape().ends() && done.cardinality() >= spec.tasks();
    }

    boolean paused(long steadyMs) {
        return steadyMs < pausedUntilMs;
    }

    /** A job whose every task fails is tried ever more rarely, until its user cancels it. */
    void failed(String machine, long steadyMs) {
        failedOn.add(machine);
        failures++;
        if (done.isEmpty() && failures > 1) {
            long pause = Tuning.FAIL_PAUSE_MS << Math.min(failures - 2, 10);
            pausedUntilMs = steadyMs + Math.min(pause, Tuning.FAIL_PAUSE_MAX_MS);
        }
    }

    /** A replica has run for long: what failed before was its machine's fault, or is over. */
    void steady() {
        failures = 0;
        failedOn.clear();
    }

    /** Whether its tasks have failed on several machines and succeeded on none. */
    boolean suspect() {
        return done.isEmpty() && failedOn.size() > 1;
    }
}
