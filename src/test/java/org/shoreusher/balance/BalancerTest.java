package org.shoreusher.balance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.balance.BalanceSettings.ClassBudget;

/** When the balancer migrates tasks, and when it does not. */
class BalancerTest {
    private static BalanceSettings settings(int atOnce, double cooldownS, ClassBudget budget) {
        return new BalanceSettings(
                0.2, 0.05, 0.1, atOnce, atOnce, atOnce, cooldownS, 2, budget, Map.of());
    }

    private static final ClassBudget AMPLE = new ClassBudget(5, 1);

    private static TestFleet crowded(BalanceSettings settings) {
        TestFleet fleet = new TestFleet(settings).machines(4);
        for (int i = 0; i < 8; i++) {
            fleet.task(0, 1);
        }
        return fleet;
    }

    @Example
    void aCrowdedMachineIsRelievedUntilTheSpreadIsWithinItsMargin() {
        TestFleet fleet = crowded(settings(8, 0, AMPLE));
        assertEquals(7.0 / 8 - 8.0 / 32, fleet.balancer.load().skew(TestFleet.TEAM));
        for (int i = 0; i < 10; i++) {
            fleet.plan().forEach(fleet::carryOut);
        }
        // 7 of 8 CPUs less one task, and a mean of a quarter: within 0.25 with hysteresis.
        assertTrue(fleet.balancer.load().skew(TestFleet.TEAM) <= 0.25);
        assertEquals(List.of(), fleet.plan(), "nothing is left to be done");
    }

    @Example
    void withinTheMarginAndItsHysteresisNothingMoves() {
        TestFleet fleet = new TestFleet(settings(8, 0, AMPLE)).machines(4);
        // Spread 3/8 - 4/32 = 0.25, just at margin and hysteresis.
        for (int i = 0; i < 4; i++) {
            fleet.task(0, 1);
        }
        assertEquals(List.of(), fleet.plan());
        fleet.task(0, 1);
        assertNotEquals(List.of(), fleet.plan());
    }

    @Example
    void atMostSoManyMovesAreUnderWay() {
        TestFleet fleet = crowded(settings(1, 0, AMPLE));
        for (int i = 8; i < 16; i++) {
            fleet.task(1, 1);
        }
        List<Move> first = fleet.plan();
        assertEquals(1, first.size());
        assertEquals(List.of(), fleet.plan());
        fleet.balancer.abandon(first.get(0), Move.Reason.TARGET_LOST, 0);
        assertEquals(1, fleet.plan().size());
    }

    @Example
    void zonesHaveACapOfTheirOwn() {
        BalanceSettings one = new BalanceSettings(0.2, 0.05, 0.1, 8, 8, 1, 0, 2, AMPLE, Map.of());
        TestFleet fleet = new TestFleet(one).machines(6);
        for (int machine = 0; machine < 4; machine++) {
            for (int i = 0; i < (machine < 3 ? 8 : 0); i++) {
                fleet.task(machine, 1);
            }
        }
        List<Move> moves = fleet.plan();
        long intoOne =
                moves.stream()
                        .filter(m -> Integer.parseInt(m.target().substring(2)) % 2 == 0)
                        .count();
        assertTrue(intoOne <= 1 && moves.size() - intoOne <= 1, moves::toString);
        assertFalse(moves.isEmpty());
    }

    /**
     * A machine that received a task keeps all its tasks for a while, and a machine that lost one
     * receives none. An oscillating load must not make tasks oscillate.
     */
    @Example
    void machinesRestAfterAMove() {
        TestFleet fleet = crowded(settings(1, 15, AMPLE));
        Move move = fleet.plan().get(0);
        fleet.carryOut(move);
        int target = Integer.parseInt(move.target().substring(2));
        for (int i = 0; i < 7; i++) {
            fleet.task(target, 1);
        }
        fleet.nowMs = 14_000;
        for (Move next = move; next != null; next = first(fleet.plan())) {
            assertNotEquals(move.target(), next.task().machine(), "came just now");
            assertNotEquals("m-0", next.target(), "left just now");
            if (next != move) {
                fleet.carryOut(next);
            }
        }
        fleet.nowMs = 29_000;
        assertEquals(move.target(), first(fleet.plan()).task().machine());
    }

    private static Move first(List<Move> moves) {
        return moves.isEmpty() ? null : moves.get(0);
    }

    @Example
    void aMoveMustBeWorthItsCost() {
        TestFleet fleet = new TestFleet(settings(8, 0, AMPLE)).machines(4);
        for (int i = 0; i < 8; i++) {
            // An image fetch of 2 s, a checkpoint of 1 s and a heartbeat delay of 2 s, times the
            // gain factor of 2, make 10 s.
            fleet.task(0, 1, 9.9, 0);
        }
        assertEquals(List.of(), fleet.plan());
        fleet.task(0, 0, 10, 0);
        assertEquals(1, fleet.plan().size());
    }

    @Example
    void aTaskIsMovedOnlyAsOftenAsItsClassAllows() {
        TestFleet fleet = crowded(settings(8, 0, new ClassBudget(0, 1)));
        assertEquals(List.of(), fleet.plan());
    }

    /**
     * Unsaved work counts as repeated work until the checkpoint is known to have succeeded; work
     * that was really repeated stays counted.
     */
    @Example
    void repeatedWorkIsBoundedByTheWorkDone() {
        TestFleet fleet = new TestFleet(settings(8, 0, new ClassBudget(5, 0.1))).machines(6);
        for (int i = 0; i < 8; i++) {
            fleet.task(0, 1, 300, 10);
            fleet.task(1, 1, 300, 10);
        }
        assertEquals(List.of(), fleet.plan(), "nothing has been done yet");
        // Two tasks on machines for 50 s.
        fleet.balancer.budget().addTask("c", 0);
        fleet.balancer.budget().addTask("c", 0);
        fleet.nowMs = 50_000;
        List<Move> one = fleet.plan();
        assertEquals(1, one.size());
        fleet.balancer.markLeftSource(one.get(0), false, 0);
        assertEquals(10, fleet.balancer.budget().repeatedS("c"));
        assertEquals(List.of(), fleet.plan(), "the save has failed");
        fleet.balancer.budget().removeTask("c", 50_000);
        fleet.nowMs = 149_000;
        assertEquals(List.of(), fleet.plan(), "one task more for 99 s");
        fleet.nowMs = 150_000;
        assertEquals(1, fleet.plan().size());
    }

    /**
     * A failover must not refill a budget: jobs that were started before it are not migrated again.
     */
    @Example
    void jobsBegunUnderAnOwnerBeforeAreNotMoved() {
        TestFleet fleet = crowded(settings(8, 0, AMPLE));
        fleet.balancer.budget().markBegunByPreviousLeader("wk-1");
        assertEquals(List.of(), fleet.plan());
    }

    @Example
    void teamsThatAreNotHotHaveNoLimit() {
        TestFleet fleet = new TestFleet(settings(8, 0, AMPLE)).machines(100);
        fleet.task(0, 1);
        fleet.balancer.updateDemand(Map.of(TestFleet.TEAM, 40.0));
        assertFalse(fleet.balancer.isHighDemand(TestFleet.TEAM));
        assertTrue(Double.isInfinite(fleet.balancer.maxTeamCpus("m-0", TestFleet.TEAM, 1, 0)));
        fleet.balancer.updateDemand(Map.of(TestFleet.TEAM, 159.0));
        assertTrue(fleet.balancer.isHighDemand(TestFleet.TEAM));
        // A fifth of all CPUs and a margin of a fifth.
        assertEquals(3.2, fleet.balancer.maxTeamCpus("m-0", TestFleet.TEAM, 1, 0), 1e-9);
        assertEquals(5, fleet.balancer.maxTeamCpus("m-0", TestFleet.TEAM, 5, 0), "one task always");
        assertEquals(4, fleet.balancer.maxTeamCpus("m-0", TestFleet.TEAM, 1, 0.1), 1e-9);
        fleet.balancer.updateDemand(Map.of(TestFleet.TEAM, 70.0));
        assertTrue(fleet.balancer.isHighDemand(TestFleet.TEAM), "cools only well below the bound");
    }

    @Example
    void aMoveThatTakesTooLongSaysWhichSideIsSilent() {
        TestFleet fleet = crowded(settings(1, 0, AMPLE));
        Move move = fleet.plan().get(0);
        assertNull(fleet.balancer.timeoutReason(move, 19_999));
        assertEquals(Move.Reason.SOURCE_SILENT, fleet.balancer.timeoutReason(move, 20_000));
        fleet.balancer.markLeftSource(move, true, 20_000);
        assertNull(fleet.balancer.timeoutReason(move, 29_999));
        assertEquals(Move.Reason.TARGET_SILENT, fleet.balancer.timeoutReason(move, 30_000));
        fleet.balancer.abandon(move, Move.Reason.TARGET_SILENT, 30_000);
        assertNull(fleet.balancer.timeoutReason(move, 90_000));
        assertNull(fleet.balancer.migration(move.task().id()));
    }
}
