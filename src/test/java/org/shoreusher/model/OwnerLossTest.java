package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.model.World.Sabotage;
import org.shoreusher.model.World.Trouble;
import org.shoreusher.settings.Settings;

/** Leaders that crash, or lose what they need, one fault at a time. */
class OwnerLossTest {
    /** A minute after the start each shard's leader is hit. */
    private static List<Trouble> ownersLose(BiConsumer<World, World.Process> what) {
        return List.of(
                new Trouble(60_000, w -> Troubles.owners(w).forEach(p -> what.accept(w, p))));
    }

    /**
     * A store outage that is longer than the lease: the leader keeps its workers' leases alive, and
     * its tasks keep running.
     */
    @Example
    void keepsWorkThroughAnOutageLongerThanTheLease() {
        World w =
                ClusterModelTest.world(
                        3,
                        Sabotage.NONE,
                        List.of(new Trouble(60_000, x -> x.state.outage(11_000))));
        assertEquals(List.of(), w.rules.violations);
        assertFalse(
                w.log.stream().anyMatch(l -> l.contains("lost its lease")),
                () -> String.join("\n", w.log));
    }

    /**
     * The store refuses one node alone: another node leads its shard soon, and not only after its
     * grace period.
     */
    @Example
    void aNodeRefusedAloneSendsItsWorkersAway() {
        World w =
                ClusterModelTest.world(
                        1, Sabotage.NONE, ownersLose((x, p) -> x.state.refuse(p.host, 40_000)));
        assertEquals(List.of(), w.rules.violations);
        // The lease of 9 s, at most a renewal just before, the successor's delay, and a round of
        // heartbeats from redirected workers.
        assertTrue(rebuiltAfter(w, 60_000) < 60_000 + 16_000, () -> String.join("\n", w.log));
    }

    /**
     * A leader loses the network. Its workers must not wait for it until their leases expire, but
     * turn to reachable nodes, so that the successor finds their tasks.
     */
    @Example
    void workersOfACutOffOwnerAreThereForTheTaker() {
        List<Long> rebuilt = new ArrayList<>();
        // Seeds with one shard; in some run a single message is late by seconds.
        for (long seed : new long[] {0, 3, 6, 9, 12}) {
            World w =
                    ClusterModelTest.world(
                            seed,
                            Sabotage.NONE,
                            ownersLose(
                                    (x, p) -> {
                                        Troubles.cutFromStateAndPeers(x, p, 60_000);
                                        Troubles.cutFromWorkers(x, p, 60_000);
                                    }));
            assertEquals(List.of(), w.rules.violations);
            rebuilt.add(rebuiltAfter(w, 60_000));
        }
        // A failover after 7 s and a round of heartbeats at once; workers that wait for the lost
        // leader make it 12 s.
        Collections.sort(rebuilt);
        assertTrue(rebuilt.get(2) < 60_000 + 9_500, () -> "rebuilt at " + rebuilt);
    }

    /**
     * A controller loses the store and its peers, but not its workers. Nobody can tell it that it
     * is alone, so it must detect that itself: its grace period would keep the workers from the
     * next leader.
     */
    @Example
    void aNodeWithNothingButItsWorkersLetsThemGo() {
        List<Long> rebuilt = new ArrayList<>();
        for (long seed : new long[] {0, 3, 6}) {
            World w =
                    ClusterModelTest.world(
                            seed,
                            Sabotage.NONE,
                            ownersLose((x, p) -> Troubles.cutFromStateAndPeers(x, p, 60_000)));
            assertEquals(List.of(), w.rules.violations);
            rebuilt.add(rebuiltAfter(w, 60_000));
        }
        Collections.sort(rebuilt);
        // The lease expires after 6 to 9 s, then follows a round of heartbeats; with the grace
        // period it is 15 s and more.
        assertTrue(rebuilt.get(1) < 60_000 + 13_000, () -> "rebuilt at " + rebuilt);
    }

    /**
     * A leader loses its workers, but neither the store nor its peers. It steps down when its peers
     * report that its workers contact them, before the workers' leases expire. Otherwise all
     * running tasks are lost, and nothing runs until the network recovers.
     */
    @Example
    void anOwnerThatItsWorkersDoNotReachGivesThePartUp() {
        List<Long> rebuilt = new ArrayList<>();
        for (long seed : new long[] {0, 3, 6, 9, 12}) {
            World w =
                    ClusterModelTest.world(
                            seed,
                            Sabotage.NONE,
                            ownersLose((x, p) -> Troubles.cutFromWorkers(x, p, 40_000)));
            assertEquals(List.of(), w.rules.violations);
            rebuilt.add(
                    w.log.stream().anyMatch(l -> l.contains("released: most"))
                            ? rebuiltAfter(w, 60_000)
                            : Long.MAX_VALUE);
        }
        // In some run a single message is late by seconds, or a machine waits for the old leader
        // once more.
        Collections.sort(rebuilt);
        assertTrue(rebuilt.get(2) < 60_000 + 14_000, () -> "rebuilt at " + rebuilt);
    }

    /**
     * A thousand machines: leaders crash while a zone is isolated, a controller is paused, and many
     * machines stop at once. A few simulations of bounded work; lost work is repeated, and no
     * invariant is violated.
     */
    @Example
    void aThousandMachines() {
        Settings large = ModelSettings.large();
        for (int parts = 1; parts <= 2; parts++) {
            World w = new World(parts, large, parts, Sabotage.NONE, 250);
            for (int i = 0; i < 60; i++) {
                w.users.submit(
                        new UserModel.Wish(
                                new JobSpecBuilder(String.format("wk-%06d", i))
                                        .team("team-" + i % 2)
                                        .priority(JobSpec.Priority.values()[1 + i % 3])
                                        .tasks(120)
                                        .cpus(4)
                                        .image("img-" + i % 5)
                                        .oneZone(i % 10 == 0)
                                        .spread(i % 10 == 1)
                                        .estimateS(8)
                                        .build(),
                                i % 15 == 2,
                                15_000),
                        1_000 + i * 1_000L);
            }
            w.quietFrom = 120_000;
            w.run(
                    200_000,
                    List.of(
                            new Trouble(40_000, x -> x.network.cutZone("b", "node-1", 35_000)),
                            new Trouble(45_000, x -> Troubles.owners(x).forEach(p -> p.kill(300))),
                            new Trouble(70_000, x -> x.processes.get(2).starve(12_000)),
                            new Trouble(
                                    85_000,
                                    x -> {
                                        int n = 0;
                                        for (WorkerModel m : x.cloud.machines()) {
                                            if (n++ % 3 == 0) {
                                                x.cloud.take(m);
                                            }
                                        }
                                    })));
            w.rules.end();
            assertEquals(List.of(), w.rules.violations, () -> String.join("\n", w.log));
            long machines =
                    w.log.stream()
                            .filter(l -> l.contains("rented: "))
                            .mapToLong(
                                    l ->
                                            Long.parseLong(
                                                    l.replaceAll(".*rented: (\\d+) of.*", "$1")))
                            .sum();
            assertTrue(machines > 1_000, () -> "rented " + machines);
            assertEquals(
                    0,
                    w.users.wishes.values().stream()
                            .filter(x -> !x.doneTold && !x.cancelTold)
                            .count());
        }
    }

    /**
     * A leader crashes. Each successor crashes while it takes over, and restarts before any other
     * node has detected it.
     */
    @Example
    void takersThatEndInTheMiddleOfItDoNoHarm() {
        for (long seed = 0; seed < 9; seed++) {
            World w =
                    ClusterModelTest.world(
                            seed,
                            Sabotage.NONE,
                            List.of(
                                    new Trouble(
                                            60_000,
                                            x -> {
                                                Troubles.endNextTakers(x, 3);
                                                Troubles.owners(x).forEach(p -> p.kill(100));
                                            })));
            assertEquals(List.of(), w.rules.violations);
            assertEquals(
                    0,
                    w.users.wishes.values().stream()
                            .filter(x -> !x.doneTold && !x.cancelTold)
                            .count());
            assertTrue(w.log.stream().filter(l -> l.contains("takeover")).count() > 3);
        }
    }

    /**
     * A machine that sends heartbeats but receives no responses is cordoned and terminated; its
     * tasks run elsewhere.
     */
    @Example
    void aDeafMachineIsReplaced() {
        for (long seed : new long[] {0, 3, 6}) {
            List<WorkerModel> deaf = new ArrayList<>();
            World w =
                    ClusterModelTest.world(
                            seed,
                            Sabotage.NONE,
                            List.of(
                                    new Trouble(
                                            50_000,
                                            x -> {
                                                for (WorkerModel m : x.cloud.machines()) {
                                                    if (deaf.isEmpty() && m.hasTasks()) {
                                                        m.deafen(1_000_000);
                                                        deaf.add(m);
                                                    }
                                                }
                                            })));
            assertEquals(List.of(), w.rules.violations);
            assertEquals(1, deaf.size());
            String id = deaf.get(0).id;
            // Otherwise tasks are started on it again and again, since it seems idle, and it is
            // never terminated while there is work.
            assertTrue(
                    w.log.stream()
                            .anyMatch(
                                    l ->
                                            l.contains("gone: " + id)
                                                    && l.contains("returned")
                                                    && timeOf(l) < 100_000),
                    () -> String.join("\n", w.log));
            assertEquals(
                    0,
                    w.users.wishes.values().stream()
                            .filter(x -> !x.doneTold && !x.cancelTold)
                            .count());
        }
    }

    /** The time at the start of a line of the simulation's log, in ms. */
    private static long timeOf(String line) {
        return Long.parseLong(line.substring(0, line.indexOf(' ')));
    }

    /** When a shard was first reconciled after a time, in ms. */
    private static long rebuiltAfter(World w, long ms) {
        return w.log.stream()
                .filter(l -> l.contains("rebuilt"))
                .mapToLong(OwnerLossTest::timeOf)
                .filter(t -> t > ms)
                .findFirst()
                .orElseThrow();
    }
}
