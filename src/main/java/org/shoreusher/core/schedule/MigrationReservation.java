package org.shoreusher.core.schedule;

import org.shoreusher.balance.Migration;
import org.shoreusher.balance.TaskId;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.message.JobSpec;

/** A migration in progress, for which capacity at the target is reserved. */
final class MigrationReservation {
    private final Migration migration;
    private final TaskAttempt source;
    private final Machine target;
    private boolean hasLeftSource;

    MigrationReservation(Migration migration, TaskAttempt source, Machine target) {
        this.migration = migration;
        this.source = source;
        this.target = target;
    }

    Migration migration() {
        return migration;
    }

    /** Returns the attempt that is stopped on the source machine. */
    TaskAttempt source() {
        return source;
    }

    /** Returns the machine on which the task is to start again. */
    Machine target() {
        return target;
    }

    TaskId taskId() {
        return migration.task().id();
    }

    Job job() {
        return source.job();
    }

    JobSpec spec() {
        return source.job().spec();
    }

    /** Whether the task has left the source; its team's quota is then reserved. */
    boolean hasLeftSource() {
        return hasLeftSource;
    }

    void markLeftSource() {
        hasLeftSource = true;
    }

    /** Whether the task can start in the response to this machine's next heartbeat. */
    boolean isReadyOn(Machine machine) {
        return target == machine && hasLeftSource;
    }
}
