package org.shoreusher.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Settings like given ones but for some values. */
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

    /** Settings like these to begin with. */
    public SettingsBuilder(Settings base) {
        this.base = base;
        host = base.host();
        members = base.members();
        nodes = base.nodes();
        zones = base.zones();
        teams = base.teams();
        reportS = base.reportS();
        workerLeaseS = base.workerLeaseS();
        cancelS = base.cancelS();
        stateRps = base.stateRps();
        stateWriteRps = base.stateWriteRps();
        valueBytes = base.valueBytes();
        txnOps = base.txnOps();
        cloudRps = base.cloudRps();
        listLagS = base.listLagS();
        sockets = base.sockets();
        clockOffMs = base.clockOffMs();
    }

    /** Sets this alone. */
    public SettingsBuilder host(String name, List<Settings.Member> others) {
        host = name;
        members = others;
        return this;
    }

    /** Sets this alone. */
    public SettingsBuilder nodes(int count) {
        nodes = count;
        return this;
    }

    /** Sets this alone. */
    public SettingsBuilder zones(String... names) {
        zones = List.of(names);
        return this;
    }

    /** Sets this alone. */
    public SettingsBuilder teams(Settings.Team... list) {
        teams = new LinkedHashMap<>();
        for (Settings.Team team : list) {
            teams.put(team.name(), team);
        }
        return this;
    }

    /** How often workers report, how long their leases last, and what a cancellation may take. */
    public SettingsBuilder workers(double report, double lease, double cancel) {
        reportS = report;
        workerLeaseS = lease;
        cancelS = cancel;
        return this;
    }

    /** Sets this alone. */
    public SettingsBuilder stateRps(double requests) {
        stateRps = requests;
        return this;
    }

    /** The limits on changes, values and transactions of the state service. */
    public SettingsBuilder limits(double writeRps, int bytes, int ops) {
        stateWriteRps = writeRps;
        valueBytes = bytes;
        txnOps = ops;
        return this;
    }

    /** Sets this alone. */
    public SettingsBuilder cloudRps(double calls) {
        cloudRps = calls;
        return this;
    }

    /** Sets this alone. */
    public SettingsBuilder listLagS(double seconds) {
        listLagS = seconds;
        return this;
    }

    /** Sets this alone. */
    public SettingsBuilder sockets(int count) {
        sockets = count;
        return this;
    }

    /** Sets this alone. */
    public SettingsBuilder clockOffMs(long ms) {
        clockOffMs = ms;
        return this;
    }

    /** The settings. */
    public Settings build() {
        return new Settings(
                host,
                base.zone(),
                base.front(),
                base.back(),
                members,
                base.cloud(),
                base.state(),
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
