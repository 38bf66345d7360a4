package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.shoreusher.core.Command;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;

/** Simulations with services only, under faults that are hard on them. */
class ServiceTroublesTest {
    private static final long TROUBLE_MS = 60_000;
    private static final long LEASE_MS = 8_000;
    private static final long SEEDS = 6;

    private static UserModel.Wish service(
            int number, String team, int replicas, double cpus, boolean oneZone, boolean spread) {
        return new UserModel.Wish(
                new JobSpecBuilder(String.format("wk-%06d", number))
                        .jobClass("gate")
                        .team(team)
                        .shape(JobSpec.WorkloadType.SERVICE)
                        .priority(JobSpec.Priority.PRODUCTION)
                        .tasks(replicas)
                        .cpus(cpus)
                        .oneZone(oneZone)
                        .spread(spread)
                        .estimateS(0)
                        .build(),
                false,
                1_000);
    }

    /**
     * A service that is spread across zones, one of a single zone, and one without zone
     * constraints.
     */
    private static World world(long seed) {
        World w = new World(seed, ModelSettings.usual(), 1, Sabotage.NONE);
        w.users.submit(service(0, "team-0", 4, 2, false, true), 5_000);
        w.users.submit(service(1, "team-0", 3, 2, true, false), 6_000);
        w.users.submit(service(2, "team-1", 3, 2, false, false), 7_000);
        return w;
    }

    private static void run(World w, long untilMs, Consumer<World> trouble) {
        w.at(TROUBLE_MS - 1, () -> assertEquals(List.of(), w.users.servicesDown(), log(w)));
        w.run(untilMs, List.of(new Trouble(TROUBLE_MS, trouble)));
        assertEquals(List.of(), w.rules.violations, log(w));
    }

    private static String log(World w) {
        return String.join("\n", w.log);
    }

    private static List<WorkerModel> withTasks(World w) {
        List<WorkerModel> machines = new ArrayList<>();
        w.cloud
                .machines()
                .forEach(
                        m -> {
                            if (m.hasTasks()) {
                                machines.add(m);
                            }
                        });
        return machines;
    }

    /** The replicas may still run there, and they do: none is started elsewhere. */
    @Example
    void aMachineThatHangsWithinItsLeaseKeepsItsReplicas() {
        for (long seed = 0; seed < SEEDS; seed++) {
            World w = world(seed);
            int[] starts = {0};
            run(
                    w,
                    100_000,
                    x -> {
                        starts[0] = x.rules.starts;
                        withTasks(x).forEach(m -> m.hang(LEASE_MS / 2));
                    });
            assertTrue(starts[0] >= 10, log(w));
            assertEquals(starts[0], w.rules.starts, log(w));
            assertEquals(List.of(), w.users.servicesDown(), log(w));
        }
    }

    @Example
    void allReplicasMoveWhenAllTheirMachinesGetANotice() {
        for (long seed = 0; seed < SEEDS; seed++) {
            World w = world(seed);
            // A boot takes up to 8.5 s here, and the images have to be fetched.
            run(w, TROUBLE_MS + 30_000, x -> withTasks(x).forEach(m -> m.notice(10_000)));
            assertEquals(List.of(), w.users.servicesDown(), log(w));
        }
    }

    /** The service of one zone may have to move as a whole, and no zone constraint is violated. */
    @Example
    void servicesWithRulesOnZonesComeBackWhenAZoneIsLost() {
        for (long seed = 0; seed < SEEDS; seed++) {
            for (String zone : List.of("a", "b")) {
                World w = world(seed);
                run(
                        w,
                        TROUBLE_MS + 60_000,
                        x ->
                                x.cloud
                                        .machines()
                                        .forEach(
                                                m -> {
                                                    if (m.zone.equals(zone)) {
                                                        x.cloud.take(m);
                                                    }
                                                }));
                assertEquals(List.of(), w.users.servicesDown(), log(w));
            }
        }
    }

    /**
     * The possible tasks of the machine count towards the quota until its lease has surely expired.
     */
    @Example
    void aServiceAtItsTeamsLimitWaitsForTheLeaseOfAMachineThatCantBeAsked() {
        for (long seed = 0; seed < SEEDS; seed++) {
            World w = new World(seed, ModelSettings.usual(), 1, Sabotage.NONE);
            w.users.submit(service(0, "team-0", 12, 2, false, true), 5_000);
            int[] downAfterLease = {0};
            w.at(TROUBLE_MS + 30_000, () -> downAfterLease[0] = w.users.servicesDown().size());
            run(
                    w,
                    TROUBLE_MS + 40_000,
                    x -> {
                        WorkerModel m = withTasks(x).get(0);
                        x.processes.forEach(p -> x.network.cut(p.host, m.id, 60_000));
                    });
            assertEquals(0, downAfterLease[0], log(w));
        }
    }

    private static void cancelAll(World w, long afterMs) {
        w.in(afterMs, () -> w.users.wishes.values().forEach(w.users::cancel));
    }

    private static void assertCancelled(World w) {
        w.users.wishes.values().forEach(x -> assertTrue(x.cancelTold, log(w)));
        w.cloud.machines().forEach(m -> assertTrue(!m.hasTasks(), log(w)));
    }

    @Example
    void aServiceIsCancelledWhileItsReplicasMove() {
        for (long seed = 0; seed < SEEDS; seed++) {
            World w = world(seed);
            long cancelledAfterMs = 200 + seed * 1_000;
            run(
                    w,
                    TROUBLE_MS + 50_000,
                    x -> {
                        withTasks(x).forEach(m -> m.notice(6_000));
                        cancelAll(x, cancelledAfterMs);
                    });
            assertCancelled(w);
        }
    }

    @Example
    void aServiceIsCancelledDuringATakeover() {
        for (long seed = 0; seed < SEEDS; seed++) {
            World w = world(seed);
            long cancelledAfterMs = seed * 2_000;
            run(
                    w,
                    TROUBLE_MS + 60_000,
                    x -> {
                        Troubles.owners(x).forEach(p -> p.kill(300));
                        cancelAll(x, cancelledAfterMs);
                    });
            assertCancelled(w);
        }
    }

    /**
     * The store refuses the leader alone, others confirm the cancellations, and then the store
     * fails for all nodes for too long.
     */
    @Example
    void aServiceIsCancelledInTheGap() {
        for (long seed = 0; seed < SEEDS; seed++) {
            World w = world(seed);
            run(
                    w,
                    TROUBLE_MS + 90_000,
                    x -> {
                        Troubles.owners(x).forEach(p -> x.state.refuse(p.host, 50_000));
                        cancelAll(x, 500);
                        x.in(6_000, () -> x.state.outage(40_000));
                    });
            assertCancelled(w);
        }
    }

    private static boolean saysRunning(WireAnswer answer) {
        return answer.status() == 200 && "running".equals(answer.body().get("status"));
    }

    /** A service is polled for as long as it runs: the responses share reads of the store. */
    @Example
    void thousandsOfPollsShareReads() {
        World w = world(1);
        int polls = 3_000;
        int[] running = {0};
        int[] handled = {0, 0};
        w.at(TROUBLE_MS - 1, () -> handled[0] = w.state.handled);
        for (int i = 0; i < polls; i++) {
            World.Process node = w.processes.get(i % 3);
            w.at(
                    TROUBLE_MS + i * 3L,
                    () ->
                            node.request(
                                    n -> new Command.Poll(n, "wk-000000"),
                                    answer -> running[0] += saysRunning(answer) ? 1 : 0));
        }
        w.at(TROUBLE_MS + polls * 3L + 1_000, () -> handled[1] = w.state.handled);
        run(w, TROUBLE_MS + polls * 3L + 2_000, x -> {});
        assertTrue(running[0] > polls * 0.98, () -> "answered: " + running[0]);
        int requests = handled[1] - handled[0];
        assertTrue(requests < polls, () -> "requests: " + requests);
    }
}
