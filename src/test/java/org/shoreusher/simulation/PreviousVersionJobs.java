package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.JobSpecFormat;

/**
 * Writes job records as a node of the previous version does, which has no services: it accepts,
 * completes and cancels jobs.
 */
final class PreviousVersionJobs {
    private final ClusterSimulation simulation;
    private final int maxValueBytes;
    private final PreviousVersionLeader leader;
    private final PreviousVersionStore store;
    private int nextJobNumber;

    PreviousVersionJobs(
            ClusterSimulation simulation, int maxValueBytes, PreviousVersionLeader leader) {
        this.simulation = simulation;
        this.maxValueBytes = maxValueBytes;
        this.leader = leader;
        store = new PreviousVersionStore(simulation.store);
    }

    /** Accepts jobs in one transaction: one job gets its own record, several a batch record. */
    void accept(int count) {
        Map<String, Long> preconditions = new LinkedHashMap<>();
        Map<String, Object> records = new LinkedHashMap<>();
        List<SimulatedUsers.SimulatedJob> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            JobSpec spec =
                    randomJob(String.format("wk-%06d", 800_000 + nextJobNumber++), count == 1);
            Map<String, Object> record = new LinkedHashMap<>();
            record.put("part", 0L);
            record.put("status", "OPEN");
            record.put("tasks", (long) spec.taskCount());
            record.put("accepted", PreviousVersionLeader.WALL_CLOCK_START_MS + simulation.nowMs);
            record.put("begun", 0L);
            record.put("spec", JobSpecFormat.writeStoredSpec(spec));
            preconditions.put("job/" + spec.id(), 0L);
            records.put(spec.id(), record);
            jobs.add(new SimulatedUsers.SimulatedJob(spec, false, 2_000));
            // If the reply is lost, the job exists, but was never confirmed to its user.
            simulation.users.jobs.put(spec.id(), jobs.get(i));
        }
        leader.send(
                preconditions,
                Map.of(recordKey(count, records), recordValue(count, records)),
                status -> {
                    if (status == 200) {
                        jobs.forEach(simulation.users::markAccepted);
                    }
                });
    }

    private String recordKey(int count, Map<String, Object> records) {
        return count == 1
                ? "job/" + records.keySet().iterator().next()
                : "arrived/" + leader.incarnation() + "/" + nextJobNumber;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> recordValue(int count, Map<String, Object> records) {
        return count == 1
                ? (Map<String, Object>) records.values().iterator().next()
                : Map.of("jobs", records);
    }

    /** A random job; some have a description longer than the current version may store. */
    private JobSpec randomJob(String id, boolean ownRecord) {
        int typeCount = ownRecord && simulation.random.nextInt(3) == 0 ? 400 : 1;
        return new JobSpecBuilder(id)
                .team("team-" + simulation.random.nextInt(2))
                .priority(JobSpec.Priority.values()[1 + simulation.random.nextInt(3)])
                .taskCount(1 + simulation.random.nextInt(ownRecord && typeCount == 1 ? 120 : 6))
                .machineTypes(Collections.nCopies(typeCount, SimulatedCloud.SMALL_TYPE))
                .spreadAcrossZones(simulation.random.nextInt(4) == 0)
                .build();
    }

    /** Writes the terminal state of jobs whose tasks have all completed. */
    void completeFinishedJobs(long fencingVersion) {
        Map<String, BitSet> completedTasks = store.completedTasks();
        store.jobs()
                .forEach(
                        (id, job) -> {
                            if (job.isOpen()
                                    && completedTasks.containsKey(id)
                                    && completedTasks.get(id).cardinality() == job.taskCount()) {
                                writeTerminalState(
                                        fencingVersion,
                                        id,
                                        job.taskCount(),
                                        "DONE",
                                        /* spec= */ null,
                                        status -> {});
                            }
                        });
    }

    /**
     * Cancels an accepted job in half of the calls; jobs whose own user cancels are skipped. A null
     * id is ignored.
     */
    void cancel(String id) {
        SimulatedUsers.SimulatedJob job = id == null ? null : simulation.users.jobs.get(id);
        if (job == null || !job.accepted || job.userCancels || simulation.random.nextBoolean()) {
            return;
        }
        job.cancelRequested = true;
        writeTerminalState(
                /* fencingVersion= */ 0,
                id,
                job.spec.taskCount(),
                "CANCELLED",
                JobSpecFormat.writeStoredSpec(job.spec),
                status -> {
                    if (status == 200 && !job.doneConfirmed) {
                        job.cancelConfirmed = true;
                        job.cancelConfirmedAtMs = simulation.nowMs;
                    }
                });
    }

    /**
     * Writes the record of an ended job, unless it is longer than a value may be.
     *
     * @param fencingVersion the version of the fence that status {@code DONE} requires; not used
     *     for other states
     * @param spec the description that the record keeps; null if it keeps none
     */
    private void writeTerminalState(
            long fencingVersion,
            String id,
            int tasks,
            String status,
            Map<String, Object> spec,
            IntConsumer onStatus) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("part", 0L);
        record.put("status", status);
        record.put("tasks", (long) tasks);
        record.put("accepted", PreviousVersionLeader.WALL_CLOCK_START_MS + simulation.nowMs);
        record.put("begun", 0L);
        if (spec != null) {
            record.put("spec", spec);
        }
        String key = "job/" + id;
        Map<String, Long> preconditions = new LinkedHashMap<>();
        preconditions.put(key, simulation.store.version(key));
        if (status.equals("DONE")) {
            preconditions.put("part/0/fence", fencingVersion);
        }
        if (FieldMap.jsonLength(record) <= maxValueBytes) {
            leader.send(preconditions, Map.of(key, record), onStatus);
        }
    }
}
