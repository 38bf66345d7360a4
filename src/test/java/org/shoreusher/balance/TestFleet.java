package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.List;

/** A scheduler with a few machines and tasks of one team, all of which the balancer may migrate. */
final class TestFleet implements FleetView {
    static final String TEAM = "t";
    static final double MACHINE_CPUS = 8;

    /** A task and the machine that it is on. */
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
        balancer = new Balancer(settings, new Balancer.Timeouts(20_000, 10_000));
    }

    static String machine(int number) {
        return "m-" + number;
    }

    TestFleet machines(int count) {
        for (int i = 0; i < count; i++) {
            balancer.load().addMachine(machine(i), i % 2 == 0 ? "a" : "b", MACHINE_CPUS, 1);
        }
        return this;
    }

    /** Adds a running task with a long remaining run time and a short checkpoint. */
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
        balancer.load().addTask(machine(machine), TEAM, cpus, "image");
        return task;
    }

    /** Plans migrations for the current time. */
    List<Move> plan() {
        balancer.updateDemand(java.util.Map.of(TEAM, MACHINE_CPUS * 100));
        return balancer.planMigrations(this, nowMs);
    }

    /** Carries a migration out to its end. */
    void carryOut(Move move) {
        Placed placed = placed(move.task().id());
        balancer.load().removeTask(placed.machine, TEAM, placed.task.cpus());
        balancer.markLeftSource(move, true, nowMs);
        balancer.load().addTask(move.target(), TEAM, placed.task.cpus(), "image");
        balancer.markStarted(move, nowMs);
        placed.machine = move.target();
    }

    private Placed placed(TaskId id) {
        return tasks.stream().filter(p -> p.task.id().equals(id)).findFirst().orElseThrow();
    }

    /** CPUs that the tasks on a machine use. */
    private double used(String machine) {
        return tasks.stream()
                .filter(p -> p.machine.equals(machine))
                .mapToDouble(p -> p.task.cpus())
                .sum();
    }

    @Override
    public List<MovableTask> migratableTasks(String machine, String team) {
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
    public boolean canAccept(String machine, MovableTask task) {
        return used(machine) + task.cpus() <= MACHINE_CPUS;
    }
}
