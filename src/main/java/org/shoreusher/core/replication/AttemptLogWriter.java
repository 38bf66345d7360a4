package org.shoreusher.core.replication;

import java.util.ArrayList;
import java.util.List;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.standby.Attempt;
import org.shoreusher.standby.AttemptId;
import org.shoreusher.standby.AttemptLogSender;

/** Writes the starts and ends of a shard's attempts into the attempt log for the standby. */
final class AttemptLogWriter {
    private final AttemptLogSender logSender;

    /** Completed attempts whose completion record is not durable yet. */
    private final List<TaskAttempt> completedNotDurable = new ArrayList<>();

    AttemptLogWriter(AttemptLogSender logSender) {
        this.logSender = logSender;
    }

    void writeStart(TaskAttempt attempt) {
        JobSpec spec = attempt.job().spec();
        logSender.recordStart(
                new Attempt(
                        attemptIdOf(attempt),
                        attempt.machine().id(),
                        spec.team(),
                        spec.cpus(),
                        spec.gpus(),
                        spec.memGb()));
    }

    /**
     * Writes the end of an attempt. For a completed task, the end is written only once the
     * completion is durable, which takes until the leader's next lease renewal. A new leader with
     * the end in its log, but no completion in the store, would start the task again, although a
     * worker has the result but has not sent the new leader a heartbeat yet.
     */
    void writeEnd(TaskAttempt attempt) {
        if (mayWriteEnd(attempt)) {
            logSender.recordEnd(attemptIdOf(attempt));
        } else {
            completedNotDurable.add(attempt);
        }
    }

    /** Writes the ends of completed attempts whose completion has become durable. */
    void writeDurableEnds() {
        completedNotDurable.removeIf(
                attempt -> {
                    boolean mayWrite = mayWriteEnd(attempt);
                    if (mayWrite) {
                        logSender.recordEnd(attemptIdOf(attempt));
                    }
                    return mayWrite;
                });
    }

    /**
     * Whether the end of an attempt may be written: the task has not completed, its completion is
     * durable, or its job is closed.
     */
    private static boolean mayWriteEnd(TaskAttempt attempt) {
        Job job = attempt.job();
        return !job.completedTasks().get(attempt.taskIndex())
                || job.durablyCompletedTasks().get(attempt.taskIndex())
                || job.isClosed();
    }

    private static AttemptId attemptIdOf(TaskAttempt attempt) {
        return new AttemptId(attempt.job().id(), attempt.taskIndex(), attempt.attemptNumber());
    }
}
