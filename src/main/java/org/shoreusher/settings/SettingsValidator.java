package org.shoreusher.settings;

import org.shoreusher.settings.InvalidSettingsException.Source;

/** Checks the values of {@link Settings} and their relations to each other. */
final class SettingsValidator {
    private static final int MIN_VALUE_BYTES = 1024;

    /** The clock offset must be below the leader's lease divided by this. */
    private static final int MIN_LEASE_PER_CLOCK_OFFSET = 4;

    private SettingsValidator() {}

    /** Throws for the first invalid field. */
    static void validate(Settings settings) throws InvalidSettingsException {
        require(!settings.host().isEmpty(), "host_name", "is empty");
        require(settings.nodeCount() >= 1, "deployment.count", "must be at least 1");
        validateWorkers(settings);
        validateStore(settings);
        requirePositive(settings.cloudRequestsPerS(), "deployment.cloud.rps");
        require(
                settings.inventoryLagS() >= 0,
                "deployment.cloud.list_lag_s",
                "must not be negative");
        validateLimits(settings);
        for (Settings.Team team : settings.teams().values()) {
            validateQuota(team.name(), "cpus", team.guaranteedCpus(), team.maxCpus());
            validateQuota(team.name(), "gpus", team.guaranteedGpus(), team.maxGpus());
        }
    }

    private static void validateWorkers(Settings settings) throws InvalidSettingsException {
        requirePositive(settings.heartbeatIntervalS(), "deployment.workers.report_s");
        require(
                settings.workerLeaseS() > settings.heartbeatIntervalS(),
                "deployment.workers.lease_s",
                "must be longer than report_s");
        requirePositive(settings.cancellationLimitS(), "deployment.workers.cancel_s");
    }

    private static void validateStore(Settings settings) throws InvalidSettingsException {
        requirePositive(settings.storeRequestsPerS(), "deployment.state.rps");
        requirePositive(settings.storeWritesPerS(), "deployment.state.write_rps");
        require(
                settings.maxTransactionWrites() >= SharedConstants.MIN_TRANSACTION_WRITES,
                "deployment.state.txn_ops",
                "must be at least "
                        + SharedConstants.MIN_TRANSACTION_WRITES
                        + ", also in state.next: a leadership change writes three keys");
        require(
                settings.maxValueBytes() >= MIN_VALUE_BYTES,
                "deployment.state.value_kb",
                "must be at least 1, also in state.next");
    }

    private static void validateLimits(Settings settings) throws InvalidSettingsException {
        long offsetBoundMs = SharedConstants.LEADER_LEASE_MS / MIN_LEASE_PER_CLOCK_OFFSET;
        require(
                settings.maxClockOffsetMs() >= 0 && settings.maxClockOffsetMs() < offsetBoundMs,
                "deployment.clock_off_ms",
                "must not be negative and must be below "
                        + offsetBoundMs
                        + ", a quarter of the leader's lease in ms");
        require(
                settings.maxSockets() > 2 * SharedConstants.RESERVED_SOCKETS,
                "deployment.limits.sockets",
                "must be above " + 2 * SharedConstants.RESERVED_SOCKETS);
    }

    private static void validateQuota(String team, String field, double guaranteed, double max)
            throws InvalidSettingsException {
        String place = "deployment.teams: " + field;
        require(guaranteed >= 0, place + " of team " + team, "must not be negative");
        require(max >= 0, place + "_max of team " + team, "must not be negative");
        require(
                guaranteed <= max,
                place + " of team " + team,
                "must not be above its " + field + "_max");
    }

    private static void requirePositive(double value, String field)
            throws InvalidSettingsException {
        require(value > 0, field, "must be above 0");
    }

    private static void require(boolean condition, String field, String problem)
            throws InvalidSettingsException {
        if (!condition) {
            throw InvalidSettingsException.ofField(Source.SETTINGS, field, problem);
        }
    }
}
