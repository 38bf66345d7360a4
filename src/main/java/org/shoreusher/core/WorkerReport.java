package org.shoreusher.core;

import java.util.List;

/** A worker's report. */
public record WorkerReport(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long session,
        long seq,
        long token,
        double noticeS,
        List<TaskReport> tasks) {

    /** States a task can be in on its machine. */
    public enum TaskState {
        FETCHING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** Why a task has exited. */
    public enum Cause {
        NONE,
        DONE,
        STOPPED,
        ERROR,
        NO_ROOM,
        BUSY,
        UNKNOWN
    }

    /**
     * One task on the machine.
     *
     * @param saved whether it was stopped and its progress is saved
     */
    public record TaskReport(
            String job, int index, long attempt, TaskState state, Cause cause, boolean saved) {
        /** A task of which no saved progress is reported. */
        public TaskReport(String job, int index, long attempt, TaskState state, Cause cause) {
            this(job, index, attempt, state, cause, false);
        }
    }

    /** Whether this report was made after the one with the given numbers. */
    public boolean newerThan(long otherSession, long otherSeq) {
        return session > otherSession || (session == otherSession && seq > otherSeq);
    }
}
