package org.shoreusher.simulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** Settings of simulations. */
final class SimulationSettings {
    private SimulationSettings() {}

    /** Three nodes in two zones, two teams, and limits that allow a busy cluster. */
    static Settings standard() {
        // In this order in every run, since the core goes through the teams.
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        teams.put("team-0", new Settings.Team("team-0", 16, 24, 0, 0));
        teams.put("team-1", new Settings.Team("team-1", 8, 16, 0, 0));
        Settings.Address nowhere = new Settings.Address("127.0.0.1", 1);
        return new Settings(
                "node",
                "a",
                nowhere,
                nowhere,
                List.of(),
                nowhere,
                nowhere,
                3,
                List.of("a", "b"),
                teams,
                List.of(),
                1.5,
                8,
                30,
                400,
                100,
                4096,
                12,
                10,
                3,
                1000,
                80);
    }

    /** The same under other limits of the store. */
    static Settings withStoreLimits(double writeRps, int valueBytes, int txnOps) {
        return new SettingsBuilder(standard()).storeLimits(writeRps, valueBytes, txnOps).build();
    }

    /**
     * Five nodes in four zones, a store that allows few requests and changes, with the shortest
     * transactions allowed or twice those, a team without quota, and machines of two sizes.
     */
    static Settings manyNodesFewWrites(long seed) {
        double none = Double.POSITIVE_INFINITY;
        return new SettingsBuilder(standard())
                .nodeCount(5)
                .zones("a", "b", "c", "d")
                .teams(new Settings.Team("team-0", 0, none, 0, none))
                .storeRequestsPerS(120)
                .storeLimits(20, 4096, seed % 2 == 0 ? 4 : 8)
                .cloudRequestsPerS(8)
                .maxSockets(1500)
                .maxClockOffsetMs(25)
                .build();
    }

    /** Teams with a quota for more than the machines that a few jobs need. */
    static Settings ampleQuota() {
        return new SettingsBuilder(standard())
                .teams(
                        new Settings.Team("team-0", 0, 40, 0, 0),
                        new Settings.Team("team-1", 0, 200, 0, 0))
                .build();
    }

    /** Two large teams, and workers with a heartbeat every 5 s. */
    static Settings large() {
        return new SettingsBuilder(standard())
                .teams(
                        new Settings.Team("team-0", 3_000, 5_000, 0, 0),
                        new Settings.Team("team-1", 3_000, 8_000, 0, 0))
                .workers(5, 26, 46)
                .storeLimits(standard().storeWritesPerS(), 8_192, 20)
                .maxSockets(2_600)
                .maxClockOffsetMs(25)
                .build();
    }

    /** Teams that fill 4,000 machines of 8 CPUs between them. */
    static Settings largest() {
        return new SettingsBuilder(large())
                .teams(
                        new Settings.Team("team-0", 8_000, 24_000, 0, 0),
                        new Settings.Team("team-1", 8_000, 24_000, 0, 0))
                .maxSockets(9_000)
                .build();
    }
}
