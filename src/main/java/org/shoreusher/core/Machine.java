package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/** An owner's knowledge of one machine of its part. */
final class Machine {
    /** How far it has come. */
    enum State {
        /** Rented; its worker has not reported yet. */
        BOOTING,
        /** Its worker reports, or did. */
        UP,
        /** Its handover to another part has been sent and not yet confirmed. */
        HANDING,
        /** Nothing is started on it any more; it is returned once empty. */
        DRAINING,
        /** Its return has been asked for and not yet confirmed. */
        RETURNING
    }

    final String id;
    final MachineType type;
    final String zone;
    final boolean spot;
    final long rentedWallMs;
    State state = State.BOOTING;
    String address;
    long session;
    long seq;

    /** steady ms of the newest report of this owner's term. */
    long reportedAtMs = Long.MIN_VALUE / 2;

    /** steady ms of the last moment at which a valid answer may have renewed the worker's lease. */
    long answeredAtMs;

    /** steady ms of the last moment at which an owner before may have given it a valid answer. */
    long inheritedAnswerMs;

    /** steady ms of the last answer that this owner gave; -1 if none. */
    long repliedAtMs = -1;

    /** Answers in a row that the worker seems not to have heard. */
    private int unheard;

    /** Whether the worker has reported to this owner since it took the part. */
    boolean heard;

    /**
     * Whether an owner before may have started tasks on it; then only reports made since the
     * takeover count.
     */
    boolean inherited;

    /**
     * Sessions up to this one have surely ended; their reports come late and tell of tasks that are
     * gone.
     */
    long endedSession;

    /** Whether tasks may have been started on it, by this owner or one before. */
    boolean used;

    /** Whether the record that says so is durable. */
    boolean recordedUsed;

    /**
     * Given no more tasks, so that it runs empty and can be handed to a part that lacks machines.
     */
    boolean yielding;

    /** Whether it is being returned only because there was no work for it. */
    boolean unneeded;

    /** Whether a return of it may yet be carried out: it got no answer. */
    boolean returnUnknown;

    /** The part that it is being handed to. */
    int handTo;

    double noticeS = Double.NaN;
    long idleSinceMs = -1;
    private double pace = 1;
    private int paced;

    /** Tasks in its newest report, those that have exited included. */
    int shown;

    /** Tasks of moves that room is kept for, and that room. */
    int reservations;

    private double cpusReserved;
    private double gpusReserved;
    private double memReserved;

    double cpusUsed;
    double gpusUsed;
    double memUsed;
    final Object2ObjectOpenHashMap<String, TaskAttempt> tasks = new Object2ObjectOpenHashMap<>();

    /** Images its tasks have had, hence most likely cached. */
    final ObjectOpenHashSet<String> images = new ObjectOpenHashSet<>();

    /** Jobs that failed here since the last success. */
    final ObjectOpenHashSet<String> failedJobs = new ObjectOpenHashSet<>();

    Machine(String id, MachineType type, String zone, boolean spot, long rentedWallMs) {
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.rentedWallMs = rentedWallMs;
    }

    /**
     * A report is here that is newer than the last one: tells whether its worker has heard the
     * answer to that one. A worker that hears nothing waits out its patience and asks elsewhere
     * first, and at last its session ends although it was answered in time.
     */
    void reported(WorkerReport r, long nowMs, Settings settings) {
        if (repliedAtMs < 0) {
            return;
        }
        long since = nowMs - repliedAtMs;
        if (r.session() > session && since < Tuning.WORKER_PATIENCE_MS - Tuning.REPORT_SLACK_MS) {
            // Held up by a cut and let through with the one before it: a worker that did not hear
            // an answer would have waited
            // for it first. Good machines were retired half a second after a cut had ended.
            return;
        }
        if (r.session() > session && since < settings.workerLeaseS() * 1000) {
            unheard = Math.max(unheard + 1, Tuning.DEAF_AFTER);
        } else if (r.session() > session
                || since
                        > Math.max(
                                Tuning.WORKER_PATIENCE_MS,
                                settings.reportS() * 1000 * Tuning.REPORT_SPREAD
                                        + Tuning.REPORT_SLACK_MS)) {
            unheard++;
        } else {
            unheard = 0;
        }
    }

    /**
     * Whether its reports arrive but nothing reaches it, as far as can be told. It gets no work
     * until it shows that it hears.
     */
    boolean deaf() {
        return unheard >= Tuning.DEAF_AFTER;
    }

    /** A task took so many times the mean of its job's finished tasks. */
    void ran(double timesTheMean) {
        pace = paced == 0 ? timesTheMean : pace + (timesTheMean - pace) * Tuning.PACE_WEIGHT;
        paced++;
    }

    /** Whether it is so much slower than others that work is better done elsewhere. */
    boolean slow() {
        return paced >= Tuning.PACE_TASKS && pace > Tuning.SLOW_TIMES;
    }

    static String taskKey(String job, int index) {
        return job + "/" + index;
    }

    double cpusFree() {
        return type.cpus() - cpusUsed - cpusReserved;
    }

    double gpusFree() {
        return type.gpus() - gpusUsed - gpusReserved;
    }

    double memFree() {
        return type.memGb() - memUsed - memReserved;
    }

    /** Keeps room for so many more tasks that are moved here; less than 0: gives it back. */
    void reserve(JobSpec spec, int tasks) {
        reservations += tasks;
        cpusReserved = reservations == 0 ? 0 : cpusReserved + tasks * spec.cpus();
        gpusReserved = reservations == 0 ? 0 : gpusReserved + tasks * spec.gpus();
        memReserved = reservations == 0 ? 0 : memReserved + tasks * spec.memGb();
    }

    /** Whether nothing is on it and nothing is about to come. */
    boolean unused() {
        return tasks.isEmpty() && reservations == 0;
    }

    /** A stable copy, for callers that change the tasks as they go. */
    List<TaskAttempt> tasksNow() {
        return new ArrayList<>(tasks.values());
    }
}
