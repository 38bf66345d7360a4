package org.shoreusher.balance;

import java.util.ArrayList;
import java.util.List;

/** A scheduler with machines and tasks of one team, all of which the balancer may migrate. */
final class FakeScheduler implements SchedulerView {
    static final String TEAM = "t";
    static final double MACHINE_CPUS = 8;
    private static final long SOURCE_STOP_TIMEOUT_MS = 20_000;
    private static final long TARGET_START_TIMEOUT_MS = 10_000;
    private static final double FETCH_GB_PER_S = 1;
    private static final double IMAGE_GB = 2;
    private static final double CHECKPOINT_DURATION_S = 1;

    /** A task and the machine on which it currently is. */
    private static final class PlacedTask {
        private final MigratableTask task;
        private String machine;

        PlacedTask(MigratableTask task) {
            this.task = task;
            machine = task.machine();
        }
    }

    final Balancer balancer;
    private final List<PlacedTask> tasks = new ArrayList<>();
    private int nextTaskIndex;
    long nowMs;

    FakeScheduler(BalanceSettings settings) {
        balancer =
                new Balancer(
                        settings,
                        new Balancer.Timeouts(SOURCE_STOP_TIMEOUT_MS, TARGET_START_TIMEOUT_MS));
    }

    static String machineId(int number) {
        return "m-" + number;
    }

    FakeScheduler addMachines(int count) {
        for (int i = 0; i < count; i++) {
            String zone = i % 2 == 0 ? "a" : "b";
            balancer.load().addMachine(machineId(i), zone, MACHINE_CPUS, FETCH_GB_PER_S);
        }
        return this;
    }

    /** Adds a running task with a long remaining run time and no unsaved work. */
    MigratableTask addTask(int machine, double cpus) {
        return addTask(machine, cpus, /* remainingS= */ 300, /* unsavedS= */ 0);
    }

    MigratableTask addTask(int machine, double cpus, double remainingS, double unsavedS) {
        MigratableTask task =
                new MigratableTask(
                        new TaskId("wk-1", nextTaskIndex++),
                        "c",
                        TEAM,
                        cpus,
                        "image",
                        IMAGE_GB,
                        machineId(machine),
                        remainingS,
                        unsavedS,
                        CHECKPOINT_DURATION_S);
        tasks.add(new PlacedTask(task));
        balancer.load().addTask(machineId(machine), TEAM, cpus, "image");
        return task;
    }

    /** Plans migrations for the current time. */
    List<Migration> planMigrations() {
        balancer.updateDemand(java.util.Map.of(TEAM, MACHINE_CPUS * 100));
        return balancer.planMigrations(this, nowMs);
    }

    /** Completes a migration: the task leaves its source and starts at its target. */
    void complete(Migration migration) {
        PlacedTask placed = findTask(migration.task().id());
        balancer.load().removeTask(placed.machine, TEAM, placed.task.cpus());
        boolean isCheckpointed = true;
        balancer.markLeftSource(migration, isCheckpointed, nowMs);
        balancer.load().addTask(migration.target(), TEAM, placed.task.cpus(), "image");
        balancer.markStarted(migration, nowMs);
        placed.machine = migration.target();
    }

    private PlacedTask findTask(TaskId id) {
        return tasks.stream()
                .filter(placed -> placed.task.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private double usedCpus(String machine) {
        return tasks.stream()
                .filter(placed -> placed.machine.equals(machine))
                .mapToDouble(placed -> placed.task.cpus())
                .sum();
    }

    @Override
    public List<MigratableTask> migratableTasks(String machine, String team) {
        return tasks.stream()
                .filter(placed -> placed.machine.equals(machine))
                .map(placed -> withMachine(placed.task, machine))
                .toList();
    }

    private static MigratableTask withMachine(MigratableTask task, String machine) {
        return new MigratableTask(
                task.id(),
                task.jobClass(),
                task.team(),
                task.cpus(),
                task.image(),
                task.imageGb(),
                machine,
                task.remainingS(),
                task.unsavedS(),
                task.checkpointDurationS());
    }

    @Override
    public boolean canAccept(String machine, MigratableTask task) {
        return usedCpus(machine) + task.cpus() <= MACHINE_CPUS;
    }
}
