package org.shoreusher.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds settings from given ones with some values changed. */
public final class SettingsBuilder {
    private final Settings base;
    private String host;
    private List<Settings.Member> members;
    private int nodes;
    private List<String> zones;
    private Map<String, Settings.Team> teams;
    private double reportS;
    private double workerLeaseS;
    private double cancelS;
    private double stateRps;
    private double stateWriteRps;
    private int valueBytes;
    private int txnOps;
    private double cloudRps;
    private double listLagS;
    private int sockets;
    private long clockOffMs;

    /** Starts with the values of these settings. */
    public SettingsBuilder(Settings base) {
        this.base = base;
        host = base.host();
        members = base.members();
        nodes = base.nodeCount();
        zones = base.zones();
        teams = base.teams();
        reportS = base.heartbeatIntervalS();
        workerLeaseS = base.workerLeaseS();
        cancelS = base.cancellationLimitS();
        stateRps = base.storeRequestsPerS();
        stateWriteRps = base.storeWritesPerS();
        valueBytes = base.maxValueBytes();
        txnOps = base.maxTransactionWrites();
        cloudRps = base.cloudRequestsPerS();
        listLagS = base.inventoryLagS();
        sockets = base.maxSockets();
        clockOffMs = base.maxClockOffsetMs();
    }

    /** Sets the host and the other members. */
    public SettingsBuilder host(String name, List<Settings.Member> others) {
        host = name;
        members = others;
        return this;
    }

    /** Sets the number of nodes. */
    public SettingsBuilder nodes(int count) {
        nodes = count;
        return this;
    }

    /** Sets the zones. */
    public SettingsBuilder zones(String... names) {
        zones = List.of(names);
        return this;
    }

    /** Sets the teams. */
    public SettingsBuilder teams(Settings.Team... list) {
        teams = new LinkedHashMap<>();
        for (Settings.Team team : list) {
            teams.put(team.name(), team);
        }
        return this;
    }

    /** Sets the heartbeat interval, the worker lease and the cancellation limit, all in s. */
    public SettingsBuilder workers(double report, double lease, double cancel) {
        reportS = report;
        workerLeaseS = lease;
        cancelS = cancel;
        return this;
    }

    /** Sets the store's requests per second. */
    public SettingsBuilder stateRps(double requests) {
        stateRps = requests;
        return this;
    }

    /**
     * Sets the store's limits: changes per second, bytes of a value and changes in a transaction.
     */
    public SettingsBuilder limits(double writeRps, int bytes, int ops) {
        stateWriteRps = writeRps;
        valueBytes = bytes;
        txnOps = ops;
        return this;
    }

    /** Sets the cloud's calls per second. */
    public SettingsBuilder cloudRps(double calls) {
        cloudRps = calls;
        return this;
    }

    /** Sets the lag of machine inventories, in s. */
    public SettingsBuilder listLagS(double seconds) {
        listLagS = seconds;
        return this;
    }

    /** Sets the number of sockets. */
    public SettingsBuilder sockets(int count) {
        sockets = count;
        return this;
    }

    /** Sets the maximum clock offset, in ms. */
    public SettingsBuilder clockOffMs(long ms) {
        clockOffMs = ms;
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
                nodes,
                zones,
                teams,
                base.objectives(),
                reportS,
                workerLeaseS,
                cancelS,
                stateRps,
                stateWriteRps,
                valueBytes,
                txnOps,
                cloudRps,
                listLagS,
                sockets,
                clockOffMs);
    }
}
