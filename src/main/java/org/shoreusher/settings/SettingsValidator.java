package org.shoreusher.settings;

import org.shoreusher.settings.InvalidSettingsException.Source;

/** Checks the values of {@link Settings} and their relations to each other. */
final class SettingsValidator {
    private static final int MIN_VALUE_BYTES = 1024;

    /** The leader's lease must be more than this many times the maximum clock offset. */
    private static final int MIN_LEASE_TO_CLOCK_OFFSET_RATIO = 4;

    private SettingsValidator() {}

    /** Checks all values; throws an exception for the first invalid field. */
    static void validate(Settings settings) throws InvalidSettingsException {
        require(!settings.host().isEmpty(), "host_name", "must not be empty", settings.host());
        require(
                settings.nodeCount() >= 1,
                "deployment.count",
                "must be at least 1",
                settings.nodeCount());
        validateWorkers(settings);
        validateStore(settings);
        requirePositive(settings.cloudRequestsPerS(), "deployment.cloud.rps");
        require(
                settings.inventoryLagS() >= 0,
                "deployment.cloud.list_lag_s",
                "must not be negative",
                settings.inventoryLagS());
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
                "must be longer than report_s, which is " + settings.heartbeatIntervalS(),
                settings.workerLeaseS());
        requirePositive(settings.cancellationLimitS(), "deployment.workers.cancel_s");
    }

    private static void validateStore(Settings settings) throws InvalidSettingsException {
        requirePositive(settings.storeRequestsPerS(), "deployment.state.rps");
        requirePositive(settings.storeWritesPerS(), "deployment.state.write_rps");
        require(
                settings.maxTransactionWrites() >= SharedConstants.MIN_TRANSACTION_WRITES,
                "deployment.state.txn_ops",
                "and state.next.txn_ops must both be at least "
                        + SharedConstants.MIN_TRANSACTION_WRITES
                        + ", since a leadership change writes three keys",
                settings.maxTransactionWrites());
        require(
                settings.maxValueBytes() >= MIN_VALUE_BYTES,
                "deployment.state.value_kb",
                "and state.next.value_kb must both be at least 1",
                settings.maxValueBytes() / (double) SettingsParser.BYTES_PER_KB);
    }

    private static void validateLimits(Settings settings) throws InvalidSettingsException {
        long offsetBoundMs = SharedConstants.LEADER_LEASE_MS / MIN_LEASE_TO_CLOCK_OFFSET_RATIO;
        require(
                settings.maxClockOffsetMs() >= 0 && settings.maxClockOffsetMs() < offsetBoundMs,
                "deployment.clock_off_ms",
                "must not be negative and must be below "
                        + offsetBoundMs
                        + ", a quarter of the leader's lease in ms",
                settings.maxClockOffsetMs());
        require(
                settings.maxSockets() > 2 * SharedConstants.RESERVED_SOCKETS,
                "deployment.limits.sockets",
                "must be above "
                        + 2 * SharedConstants.RESERVED_SOCKETS
                        + ", twice the sockets that are not available to clients",
                settings.maxSockets());
    }

    private static void validateQuota(String team, String field, double guaranteed, double max)
            throws InvalidSettingsException {
        String path = "deployment.teams: " + field;
        require(guaranteed >= 0, path + " of team " + team, "must not be negative", guaranteed);
        require(max >= 0, path + "_max of team " + team, "must not be negative", max);
        require(
                guaranteed <= max,
                path + " of team " + team,
                "must not be above " + field + "_max, which is " + max,
                guaranteed);
    }

    private static void requirePositive(double value, String field)
            throws InvalidSettingsException {
        require(value > 0, field, "must be above 0", value);
    }

    private static void require(boolean condition, String field, String allowed, Object value)
            throws InvalidSettingsException {
        if (!condition) {
            throw InvalidSettingsException.ofField(
                    Source.SETTINGS, field, allowed + InvalidSettingsException.found(value));
        }
    }
}
