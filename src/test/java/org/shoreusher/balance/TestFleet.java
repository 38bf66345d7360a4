package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.List;

/** A few machines with tasks of one team, which the balancer moves as it likes. */
final class TestFleet implements FleetView {
    static final String TEAM = "t";
    static final double MACHINE_CPUS = 8;

    /** A task and where it is. */
    private static final class Placed {
        private final MovableTask task;
        private String machine;

        Placed(MovableTask task) {
            this.task = task;
            machine = task.machine();
        }
    }

    final Balancer balancer;
    private final List<Placed> tasks = new ArrayList<>();
    private int nextIndex;
    long nowMs;

    TestFleet(BalanceSettings settings) {
        balancer = new Balancer(settings, new Balancer.Patience(20_000, 10_000));
    }

    static String machine(int number) {
        return "m-" + number;
    }

    TestFleet machines(int count) {
        for (int i = 0; i < count; i++) {
            balancer.load().machine(machine(i), i % 2 == 0 ? "a" : "b", MACHINE_CPUS, 1);
        }
        return this;
    }

    /** A running task that has long to go and can save. */
    MovableTask task(int machine, double cpus) {
        return task(machine, cpus, 300, 0);
    }

    MovableTask task(int machine, double cpus, double remainingS, double unsavedS) {
        MovableTask task =
                new MovableTask(
                        new TaskId("wk-1", nextIndex++),
                        "c",
                        TEAM,
                        cpus,
                        "image",
                        2,
                        machine(machine),
                        remainingS,
                        unsavedS,
                        1);
        tasks.add(new Placed(task));
        balancer.load().taskAdded(machine(machine), TEAM, cpus, "image");
        return task;
    }

    /** Makes the plan of this moment. */
    List<Move> plan() {
        balancer.demand(java.util.Map.of(TEAM, MACHINE_CPUS * 100));
        return balancer.plan(this, nowMs);
    }

    /** Carries a move out to its end. */
    void carryOut(Move move) {
        Placed placed = placed(move.task().id());
        balancer.load().taskRemoved(placed.machine, TEAM, placed.task.cpus());
        balancer.leftSource(move, true, nowMs);
        balancer.load().taskAdded(move.target(), TEAM, placed.task.cpus(), "image");
        balancer.started(move, nowMs);
        placed.machine = move.target();
    }

    private Placed placed(TaskId id) {
        return tasks.stream().filter(p -> p.task.id().equals(id)).findFirst().orElseThrow();
    }

    /** CPUs that tasks use on a machine. */
    private double used(String machine) {
        return tasks.stream()
                .filter(p -> p.machine.equals(machine))
                .mapToDouble(p -> p.task.cpus())
                .sum();
    }

    @Override
    public List<MovableTask> movableTasks(String machine, String team) {
        return tasks.stream()
                .filter(p -> p.machine.equals(machine))
                .map(p -> at(p.task, machine))
                .toList();
    }

    private static MovableTask at(MovableTask task, String machine) {
        return new MovableTask(
                task.id(),
                task.jobClass(),
                task.team(),
                task.cpus(),
                task.image(),
                task.imageGb(),
                machine,
                task.remainingS(),
                task.unsavedS(),
                task.saveS());
    }

    @Override
    public boolean takes(String machine, MovableTask task) {
        return used(machine) + task.cpus() <= MACHINE_CPUS;
    }
}
