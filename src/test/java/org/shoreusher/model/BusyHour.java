package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;

/** Three controllers with a warm standby, teams at their quota, and jobs of short tasks. */
final class BusyHour {
    static final long TROUBLE_MS = 40_000;
    static final long QUIET_MS = 110_000;
    static final long END_MS = 220_000;

    /** Shorter than the workers' lease of 8 s, and longer than a failover, which takes 4 to 6 s. */
    static final long SILENT_MS = 6_700;

    /**
     * For this time, in ms, no worker loses a lease that was renewed before: 8 s less the longest
     * interval between heartbeats.
     */
    static final long LEASES_HOLD_MS = 6_000;

    static final long AWAY_MS = 25_000;

    /** Runs a simulation with jobs of short tasks that keep both teams at their quota. */
    static World world(long seed, List<Trouble> troubles) {
        World w = new World(seed, ModelSettings.usual(), 1, Sabotage.NONE);
        w.features = StandbyWorlds.FEATURES;
        for (int i = 0; i < 16; i++) {
            w.users.submit(
                    new UserModel.Wish(
                            new JobSpecBuilder(String.format("wk-%06d", i))
                                    .team("team-" + i % 2)
                                    .tasks(20)
                                    .estimateS(4)
                                    .build(),
                            false,
                            4_000),
                    1_000 + i * 500L);
        }
        w.quietFrom = QUIET_MS;
        w.at(QUIET_MS, w.rules::watchWaiting);
        w.run(END_MS, troubles);
        w.rules.end();
        return w;
    }

    /** The same with one fault that hits the leader. */
    static World world(long seed, BiConsumer<World, World.Process> trouble) {
        return world(seed, List.of(toOwner(TROUBLE_MS, trouble)));
    }

    /** A fault that hits the current leader of the shard. */
    static Trouble toOwner(long at, BiConsumer<World, World.Process> trouble) {
        return new Trouble(
                at, w -> List.copyOf(Troubles.owners(w)).forEach(p -> trouble.accept(w, p)));
    }

    /** No invariant was violated, every job has ended, and no heartbeat contradicted a log. */
    static void check(World w) {
        assertEquals(List.of(), w.rules.violations, () -> String.join("\n", w.log));
        assertEquals(List.of(), StandbyWorlds.unfinished(w), () -> String.join("\n", w.log));
        assertEquals(
                0,
                StandbyWorlds.promotions(w).getOrDefault("a report contradicts the log", 0),
                () -> String.join("\n", w.log));
    }

    /** How many failovers continued from the replicated log. */
    static int inSync(World w) {
        return StandbyWorlds.promotions(w).getOrDefault("in sync", 0);
    }

    /** The controller that the shard's record names as the standby; null if it names none. */
    static World.Process named(World w) {
        Map<String, Object> record = w.state.value("part/0");
        Object standby = record == null ? null : record.get("standby");
        return w.processes.stream()
                .filter(p -> standby != null && standby.toString().startsWith(p.host + "/"))
                .findFirst()
                .orElse(null);
    }

    /** How many failovers found that the record names another incarnation, or none. */
    static int notNamed(World w) {
        return StandbyWorlds.promotions(w).getOrDefault("the record does not name this process", 0);
    }
}
