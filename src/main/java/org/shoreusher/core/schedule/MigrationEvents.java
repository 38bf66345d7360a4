package org.shoreusher.core.schedule;

import java.util.Locale;
import org.shoreusher.balance.BalanceStatistics;
import org.shoreusher.balance.Migration;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;

/** The log events of migrations. */
final class MigrationEvents {
    private MigrationEvents() {}

    /** A migration has begun; its task is being stopped on the source. */
    static LogEvent started(MigrationReservation reservation, double skew) {
        Migration migration = reservation.migration();
        return LogEvent.of(LogEventType.MIGRATION_STARTED)
                .with("task", migration.task().id())
                .with("source", reservation.source().machine().id())
                .with("target", migration.target())
                .with("team", migration.task().team())
                .with("skew", "%.2f".formatted(skew))
                .with("gain_s", Math.round(migration.gainS()));
    }

    /** The task is started at its target. */
    static LogEvent completed(MigrationReservation reservation, long nowMs) {
        return LogEvent.of(LogEventType.MIGRATION_COMPLETED)
                .with("task", reservation.taskId())
                .with("target", reservation.target().id())
                .with("duration_ms", nowMs - reservation.migration().begunAtMs())
                .with("checkpointed", reservation.source().isCheckpointed());
    }

    /** The task completed before it was stopped. */
    static LogEvent obsolete(MigrationReservation reservation) {
        return LogEvent.of(LogEventType.MIGRATION_OBSOLETE).with("task", reservation.taskId());
    }

    /** The migration was abandoned. */
    static LogEvent abandoned(MigrationReservation reservation, Migration.Reason reason) {
        return LogEvent.of(LogEventType.MIGRATION_ABANDONED)
                .with("task", reservation.taskId())
                .with("reason", reason.name().toLowerCase(Locale.ROOT));
    }

    /** The statistics of a shard's migrations so far. */
    static LogEvent statistics(int shardNumber, BalanceStatistics statistics) {
        return LogEvent.of(LogEventType.MIGRATION_STATISTICS)
                .with("shard", shardNumber)
                .with("skew_median", statistics.skewPercentile(50))
                .with("skew_p99", statistics.skewPercentile(99))
                .with("skew_max", statistics.skewPercentile(100))
                .with("begun", statistics.migrationsBegun())
                .with("started", statistics.migrationsStarted())
                .with("obsolete", statistics.migrationsObsolete())
                .with("abandoned", statistics.migrationsAbandoned().toString())
                .with("duration_p99_ms", statistics.durationPercentileMs(99))
                .with("max_repeated_work_ms", statistics.maxRepeatedWorkMs());
    }
}
