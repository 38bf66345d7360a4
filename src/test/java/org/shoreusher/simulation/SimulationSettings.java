package org.shoreusher.simulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** Settings of simulations. */
final class SimulationSettings {
    private SimulationSettings() {}

    /** Three nodes in two zones, two teams with guarantees and quotas, and high store limits. */
    static Settings standard() {
        // An ordered map: the core iterates over the teams, and runs must be reproducible.
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        teams.put("team-0", new Settings.Team("team-0", 16, 24, 0, 0));
        teams.put("team-1", new Settings.Team("team-1", 8, 16, 0, 0));
        Settings.Address nowhere = new Settings.Address("127.0.0.1", 1);
        return new Settings(
                /* host= */ "node",
                /* zone= */ "a",
                /* frontAddress= */ nowhere,
                /* peerAddress= */ nowhere,
                /* members= */ List.of(),
                /* cloudAddress= */ nowhere,
                /* storeAddress= */ nowhere,
                /* nodeCount= */ 3,
                /* zones= */ List.of("a", "b"),
                /* teams= */ teams,
                /* objectives= */ List.of(),
                /* heartbeatIntervalS= */ 1.5,
                /* workerLeaseS= */ 8,
                /* cancellationLimitS= */ 30,
                /* storeRequestsPerS= */ 400,
                /* storeWritesPerS= */ 100,
                /* maxValueBytes= */ 4096,
                /* maxTransactionWrites= */ 12,
                /* cloudRequestsPerS= */ 10,
                /* inventoryLagS= */ 3,
                /* maxSockets= */ 1000,
                /* maxClockOffsetMs= */ 80);
    }

    /** The standard settings with other limits of the store. */
    static Settings withStoreLimits(
            double writesPerS, int maxValueBytes, int maxTransactionWrites) {
        return new SettingsBuilder(standard())
                .storeLimits(writesPerS, maxValueBytes, maxTransactionWrites)
                .build();
    }

    /**
     * Five nodes in four zones, a store that allows few requests and writes, with the lowest limit
     * on writes per transaction that is supported or twice that, a team without quota, and machines
     * of two types.
     */
    static Settings manyNodesFewWrites(long seed) {
        double unlimited = Double.POSITIVE_INFINITY;
        return new SettingsBuilder(standard())
                .nodeCount(5)
                .zones("a", "b", "c", "d")
                .teams(new Settings.Team("team-0", 0, unlimited, 0, unlimited))
                .storeRequestsPerS(120)
                .storeLimits(20, 4096, seed % 2 == 0 ? 4 : 8)
                .cloudRequestsPerS(8)
                .maxSockets(1500)
                .maxClockOffsetMs(25)
                .build();
    }

    /** The standard settings with quotas of 40 and 200 CPUs, and without guarantees. */
    static Settings ampleQuota() {
        return new SettingsBuilder(standard())
                .teams(
                        new Settings.Team("team-0", 0, 40, 0, 0),
                        new Settings.Team("team-1", 0, 200, 0, 0))
                .build();
    }

    /** Two large teams, and workers with a heartbeat every 5 s and a lease of 26 s. */
    static Settings large() {
        return new SettingsBuilder(standard())
                .teams(
                        new Settings.Team("team-0", 3_000, 5_000, 0, 0),
                        new Settings.Team("team-1", 3_000, 8_000, 0, 0))
                .workers(/* intervalS= */ 5, /* leaseS= */ 26, /* cancellationS= */ 46)
                .storeLimits(standard().storeWritesPerS(), 8_192, 20)
                .maxSockets(2_600)
                .maxClockOffsetMs(25)
                .build();
    }

    /** Two teams whose quotas together exceed 4,000 machines of 8 CPUs. */
    static Settings largest() {
        return new SettingsBuilder(large())
                .teams(
                        new Settings.Team("team-0", 8_000, 24_000, 0, 0),
                        new Settings.Team("team-1", 8_000, 24_000, 0, 0))
                .maxSockets(9_000)
                .build();
    }
}
