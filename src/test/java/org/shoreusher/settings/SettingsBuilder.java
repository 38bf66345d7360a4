package org.shoreusher.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds a copy of settings with some values changed. */
public final class SettingsBuilder {
    private final Settings base;
    private String host;
    private List<Settings.Member> members;
    private int nodeCount;
    private List<String> zones;
    private Map<String, Settings.Team> teams;
    private double heartbeatIntervalS;
    private double workerLeaseS;
    private double cancellationLimitS;
    private double storeRequestsPerS;
    private double storeWritesPerS;
    private int maxValueBytes;
    private int maxTransactionWrites;
    private double cloudRequestsPerS;
    private double inventoryLagS;
    private int maxSockets;
    private long maxClockOffsetMs;

    /** Starts with the values of these settings. */
    public SettingsBuilder(Settings base) {
        this.base = base;
        host = base.host();
        members = base.members();
        nodeCount = base.nodeCount();
        zones = base.zones();
        teams = base.teams();
        heartbeatIntervalS = base.heartbeatIntervalS();
        workerLeaseS = base.workerLeaseS();
        cancellationLimitS = base.cancellationLimitS();
        storeRequestsPerS = base.storeRequestsPerS();
        storeWritesPerS = base.storeWritesPerS();
        maxValueBytes = base.maxValueBytes();
        maxTransactionWrites = base.maxTransactionWrites();
        cloudRequestsPerS = base.cloudRequestsPerS();
        inventoryLagS = base.inventoryLagS();
        maxSockets = base.maxSockets();
        maxClockOffsetMs = base.maxClockOffsetMs();
    }

    /** Sets the name of this node and the other members. */
    public SettingsBuilder host(String name, List<Settings.Member> others) {
        host = name;
        members = others;
        return this;
    }

    /** Sets the number of nodes. */
    public SettingsBuilder nodeCount(int count) {
        nodeCount = count;
        return this;
    }

    /** Sets the zones. */
    public SettingsBuilder zones(String... names) {
        zones = List.of(names);
        return this;
    }

    /** Sets the teams. */
    public SettingsBuilder teams(Settings.Team... values) {
        teams = new LinkedHashMap<>();
        for (Settings.Team team : values) {
            teams.put(team.name(), team);
        }
        return this;
    }

    /** Sets the heartbeat interval, the worker lease and the cancellation limit, all in s. */
    public SettingsBuilder workers(double intervalS, double leaseS, double cancellationS) {
        heartbeatIntervalS = intervalS;
        workerLeaseS = leaseS;
        cancellationLimitS = cancellationS;
        return this;
    }

    /** Sets the store's requests per second. */
    public SettingsBuilder storeRequestsPerS(double requestsPerS) {
        storeRequestsPerS = requestsPerS;
        return this;
    }

    /** Sets the store's limits: writes per second, bytes of a value and writes in a transaction. */
    public SettingsBuilder storeLimits(double writesPerS, int valueBytes, int transactionWrites) {
        storeWritesPerS = writesPerS;
        maxValueBytes = valueBytes;
        maxTransactionWrites = transactionWrites;
        return this;
    }

    /** Sets the cloud's requests per second. */
    public SettingsBuilder cloudRequestsPerS(double requestsPerS) {
        cloudRequestsPerS = requestsPerS;
        return this;
    }

    /** Sets the largest lag of the cloud's inventory, in s. */
    public SettingsBuilder inventoryLagS(double seconds) {
        inventoryLagS = seconds;
        return this;
    }

    /** Sets the largest number of open sockets. */
    public SettingsBuilder maxSockets(int count) {
        maxSockets = count;
        return this;
    }

    /** Sets the largest clock offset, in ms. */
    public SettingsBuilder maxClockOffsetMs(long offsetMs) {
        maxClockOffsetMs = offsetMs;
        return this;
    }

    /** Builds the settings. */
    public Settings build() {
        return new Settings(
                host,
                base.zone(),
                base.frontAddress(),
                base.peerAddress(),
                members,
                base.cloudAddress(),
                base.storeAddress(),
                nodeCount,
                zones,
                teams,
                base.objectives(),
                heartbeatIntervalS,
                workerLeaseS,
                cancellationLimitS,
                storeRequestsPerS,
                storeWritesPerS,
                maxValueBytes,
                maxTransactionWrites,
                cloudRequestsPerS,
                inventoryLagS,
                maxSockets,
                maxClockOffsetMs);
    }
}
