package org.shoreusher.core;

/** A task that is or may be on a machine. */
final class TaskAttempt {
    /** What is known of it. */
    enum State {
        /** Its start was answered to a report; a newer report will show it or not. */
        ASKED,
        FETCHING,
        RUNNING,
        SAVING
    }

    final Job job;
    final int index;
    final long attempt;
    final Machine machine;
    final long sinceMs;
    State state;

    /** To be stopped at once: cancelled, finished elsewhere, or of no known job. */
    boolean mustStop;

    /** Told to stop with time to save; it goes back to waiting when it has exited. */
    boolean stopping;

    /** Whether its machine has shown that it saved its progress when it was stopped. */
    boolean saved;

    long runningSinceMs = -1;
    long haltedAtMs = Long.MIN_VALUE / 2;

    TaskAttempt(Job job, int index, long attempt, Machine machine, State state, long sinceMs) {
        this.job = job;
        this.index = index;
        this.attempt = attempt;
        this.machine = machine;
        this.state = state;
        this.sinceMs = sinceMs;
    }
}
