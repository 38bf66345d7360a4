package org.shoreusher.standin;

/** A task on a worker of the stand-ins. */
final class StandInTask {
    /** Where a task stands, with the word that reports use for it. */
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

    double progressS() {
        return startedAtProgressS + (System.nanoTime() - runningSinceNs) / 1e9;
    }

    /** Progress that the task has saved by itself so far. */
    double savedS() {
        return profile.saveEveryS() <= 0
                ? 0
                : Math.max(
                        startedAtProgressS,
                        Math.floor(progressS() / profile.saveEveryS()) * profile.saveEveryS());
    }
}
