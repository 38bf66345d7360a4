package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.simulation.ClusterSimulation.InjectedDefect;

/**
 * Jobs whose tasks fail. Guards against a sound job that gets no machine any more because its first
 * machines were faulty, and against a job with a mistake that uses up machines.
 */
class FailingJobsTest {
    private static final String JOB_ID = "wk-000001";

    private static ClusterSimulation simulation(long seed) {
        return new ClusterSimulation(
                seed, SimulationSettings.standard(), 1, InjectedDefect.NONE, /* capacity= */ 8);
    }

    private static SimulatedUsers.SimulatedJob job(
            String id, int tasks, JobSpec.Priority priority) {
        return new SimulatedUsers.SimulatedJob(
                new JobSpecBuilder(id).taskCount(tasks).cpus(2).priority(priority).build(),
                /* userCancels= */ false,
                /* runMs= */ 4_000);
    }

    /** All tasks fail on the first machines; the job is the only one and must still complete. */
    @Example
    void jobThatFailedOnItsFirstMachinesGetsAnotherOne() {
        for (int faultyMachines = 1; faultyMachines <= 4; faultyMachines++) {
            for (long seed = 0; seed < 5; seed++) {
                ClusterSimulation simulation = simulation(seed);
                simulation.cloud.faultyMachines = faultyMachines;
                simulation.users.submit(job(JOB_ID, 4, JobSpec.Priority.HIGH), 20_000);
                simulation.run(400_000, List.of());
                assertEquals(List.of(), simulation.invariants.violations);
                assertEquals(
                        List.of(),
                        simulation.users.unfinishedJobs(),
                        "faulty machines: " + faultyMachines + ", seed " + seed);
            }
        }
    }

    /** The faulty machines stay, because another team's services run on them without failing. */
    @Example
    void jobThatFailedOnUsedMachinesGetsAnotherOne() {
        for (long seed = 0; seed < 5; seed++) {
            ClusterSimulation simulation = simulation(seed);
            simulation.cloud.faultyMachines = 2;
            simulation.users.submitService(2, 15_000, 2, /* cancels= */ false);
            simulation.users.submit(job(JOB_ID, 4, JobSpec.Priority.NORMAL), 40_000);
            simulation.run(400_000, List.of());
            assertEquals(List.of(), simulation.invariants.violations);
            assertTrue(simulation.users.jobs.get(JOB_ID).doneConfirmed, "seed " + seed);
        }
    }

    /**
     * A job with a mistake is tried for as long as it is open, on one further machine at a time.
     */
    @Example
    void jobWithAMistakeIsTriedOnOneFurtherMachineAtATime() {
        for (long seed = 0; seed < 5; seed++) {
            ClusterSimulation simulation = simulation(seed);
            simulation.mistakenJobIds.add(JOB_ID);
            simulation.users.submit(job(JOB_ID, 4, JobSpec.Priority.HIGH), 20_000);
            simulation.run(120_000, List.of());
            int provisionedBefore = simulation.cloud.machinesProvisioned();
            int startsBefore = simulation.invariants.taskStarts;
            simulation.run(720_000, List.of());
            assertEquals(List.of(), simulation.invariants.violations);
            assertTrue(simulation.invariants.taskStarts > startsBefore, "tried no more");
            // The longest backoff is 30 s.
            int provisioned = simulation.cloud.machinesProvisioned() - provisionedBefore;
            assertTrue(provisioned <= 600 / 30, "machines in ten minutes: " + provisioned);
        }
    }

    /** A sound job beside one with a mistake is not delayed by it. */
    @Example
    void jobWithAMistakeDelaysNoOther() {
        for (long seed = 0; seed < 5; seed++) {
            ClusterSimulation simulation = simulation(seed);
            simulation.mistakenJobIds.add(JOB_ID);
            simulation.users.submit(job(JOB_ID, 100, JobSpec.Priority.HIGH), 20_000);
            for (int i = 2; i < 12; i++) {
                simulation.users.submit(
                        job(String.format("wk-%06d", i), 4, JobSpec.Priority.NORMAL),
                        20_000 + i * 10_000L);
            }
            simulation.run(220_000, List.of());
            assertEquals(List.of(JOB_ID), simulation.users.unfinishedJobs(), "seed " + seed);
        }
    }
}
