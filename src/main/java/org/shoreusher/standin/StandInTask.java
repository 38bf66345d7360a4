package org.shoreusher.standin;

/** A task on a stand-in worker. */
final class StandInTask {
    /** State of a task, with its name in heartbeats. */
    enum State {
        FETCHING("pulling"),
        RUNNING("running"),
        CHECKPOINTING("flushing"),
        EXITED("exited");

        final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }
    }

    final String name;
    final long attempt;
    final JobProfile profile;
    State state = State.FETCHING;

    /** Null until the task has exited. */
    String exitCause;

    boolean checkpointSaved;

    /** The progress that earlier attempts had checkpointed, in s. */
    double initialProgressS;

    long runningSinceNs;

    StandInTask(String name, long attempt, JobProfile profile) {
        this.name = name;
        this.attempt = attempt;
        this.profile = profile;
    }

    /** Whether the task uses resources of its machine: until it has exited. */
    boolean isActive() {
        return state != State.EXITED;
    }

    /** Progress of a running task in s, including that of earlier attempts. */
    double progressS() {
        return initialProgressS + (System.nanoTime() - runningSinceNs) / 1e9;
    }

    /** Progress in s that periodic checkpoints have saved; 0 if the task has none. */
    double checkpointedS() {
        return profile.checkpointIntervalS() <= 0
                ? 0
                : Math.max(
                        initialProgressS,
                        Math.floor(progressS() / profile.checkpointIntervalS())
                                * profile.checkpointIntervalS());
    }
}
