package org.shoreusher.core;

/** A command to a worker. */
public record WorkerOrder(Kind kind, String job, int index, long attempt, double graceS) {

    /** What the worker is to do with the task. */
    public enum Kind {
        START,
        STOP,
        FORGET
    }
}
