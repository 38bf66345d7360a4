package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;

/** Four thousand machines, the largest size that the service is meant for. */
class LargestFleetTest {
    private static final int MACHINES = 4_000;
    private static final long ZONE_CUT_MS = 50_000;
    private static final long TAKEOVER_MS = 60_000;

    /**
     * A zone is isolated from everything, and meanwhile the leader crashes. Half of the machines
     * are unresponsive during reconciliation. No invariant is violated, and every job ends.
     */
    @Example
    void aTakeoverWhileAZoneIsCutOff() {
        World w = new World(1, ModelSettings.largest(), 1, Sabotage.NONE, MACHINES / 4);
        for (int i = 0; i < 70; i++) {
            w.users.submit(wish(i), 1_000 + i * 500L);
        }
        w.quietFrom = 110_000;
        w.run(
                190_000,
                List.of(
                        new Trouble(ZONE_CUT_MS, x -> x.network.cutZone("b", "node-1", 35_000)),
                        new Trouble(
                                TAKEOVER_MS, x -> Troubles.owners(x).forEach(p -> p.kill(4_000)))));
        w.rules.end();
        assertEquals(List.of(), w.rules.violations, () -> String.join("\n", w.log));
        assertTrue(w.cloud.mostMachines() >= MACHINES, () -> "had " + w.cloud.mostMachines());
        assertTrue(
                w.log.stream().filter(l -> l.contains("takeover")).count() > 1,
                "nobody took the part");
        assertEquals(
                0,
                w.users.wishes.values().stream().filter(x -> !x.doneTold && !x.cancelTold).count());
    }

    private static UserModel.Wish wish(int number) {
        JobSpec spec =
                new JobSpecBuilder(String.format("wk-%06d", number))
                        .team("team-" + number % 2)
                        .priority(JobSpec.Priority.values()[1 + number % 3])
                        .tasks(400)
                        .cpus(4)
                        .image("img-" + number % 5)
                        .estimateS(20)
                        .build();
        return new UserModel.Wish(spec, number % 15 == 2, 20_000);
    }
}
