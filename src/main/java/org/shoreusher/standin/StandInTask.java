package org.shoreusher.standin;

/** A task on a stand-in worker. */
final class StandInTask {
    /** State of a task, with its name in heartbeats. */
    enum State {
        FETCHING("pulling"),
        RUNNING("running"),
        SAVING("flushing"),
        EXITED("exited");

        final String shown;

        State(String shown) {
            this.shown = shown;
        }
    }

    final String name;
    final long attempt;
    final JobProfile profile;
    State state = State.FETCHING;
    String cause;
    boolean stored;
    double startedAtProgressS;
    long runningSinceNs;

    StandInTask(String name, long attempt, JobProfile profile) {
        this.name = name;
        this.attempt = attempt;
        this.profile = profile;
    }

    /** Progress of a running task in s, including that of earlier attempts. */
    double progressS() {
        return startedAtProgressS + (System.nanoTime() - runningSinceNs) / 1e9;
    }

    /** Progress in s that is saved by periodic checkpoints. */
    double savedS() {
        return profile.saveEveryS() <= 0
                ? 0
                : Math.max(
                        startedAtProgressS,
                        Math.floor(progressS() / profile.saveEveryS()) * profile.saveEveryS());
    }
}
