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

    /** Writes the start of an attempt. */
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
     * Writes the end of an attempt, as soon as it may be written. The completion record of a task
     * becomes durable only with the leader's next lease renewal. A new leader that found the end in
     * the log, but no completion in the store, would start the task again although a worker that
     * has not sent it a heartbeat has the result. The end of a completed attempt is therefore
     * written once its completion is durable.
     */
    void writeEnd(TaskAttempt attempt) {
        if (isEndDurable(attempt)) {
            logSender.recordEnd(attemptIdOf(attempt));
        } else {
            completedNotDurable.add(attempt);
        }
    }

    /** Writes the ends of completed attempts whose completion has become durable. */
    void writeDurableEnds() {
        completedNotDurable.removeIf(
                attempt -> {
                    boolean isDurable = isEndDurable(attempt);
                    if (isDurable) {
                        logSender.recordEnd(attemptIdOf(attempt));
                    }
                    return isDurable;
                });
    }

    /** Whether the task did not complete, or its completion is durable. */
    private static boolean isEndDurable(TaskAttempt attempt) {
        Job job = attempt.job();
        return !job.completedTasks().get(attempt.taskIndex())
                || job.durablyCompletedTasks().get(attempt.taskIndex())
                || job.isClosed();
    }

    private static AttemptId attemptIdOf(TaskAttempt attempt) {
        return new AttemptId(attempt.job().id(), attempt.taskIndex(), attempt.attemptNumber());
    }
}
