package org.shoreusher.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.CompletionRecord;
import org.shoreusher.core.store.HighWaterMarkRecord;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;
import org.shoreusher.core.store.MachineGroupRecord;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.QuotaRecord;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.SubmissionBatchRecord;

/** Sample records of every kind by key, and the round trip of a record through its class. */
public final class StoredRecords {
    private static final long ACCEPTED_MS = 1_700_000_000_000L;
    private static final int LARGE_VALUE_LIMIT_BYTES = 8_192;
    private static final int SMALL_VALUE_LIMIT_BYTES = 1_024;

    private StoredRecords() {}

    /** Records of every kind as the current version writes them. */
    public static Map<String, Map<String, Object>> samples() {
        Map<String, Map<String, Object>> store = new LinkedHashMap<>();
        Map<String, Object> completedTasks = Map.of("wk-000001", "0-3,7");
        store.put(
                StoreSchema.shardKey(0),
                new ShardRecord("node-0/a1", ACCEPTED_MS, 9, completedTasks, "node-1/b2").toMap());
        store.put(
                StoreSchema.shardKey(1),
                new ShardRecord("node-2/c3", ACCEPTED_MS, 4, Map.of(), null).toMap());
        store.put(StoreSchema.completionKey(0, 1), new CompletionRecord(completedTasks).toMap());
        store.put(
                StoreSchema.highWaterMarkKey(0, 0),
                HighWaterMarkRecord.toMap(Map.of("wk-000001", 12)));
        store.put(StoreSchema.quotaKey("team-0"), QuotaRecord.splitEvenly(25, 3, 2).toMap());
        putJobs(store);
        putMachines(store);
        return store;
    }

    private static void putJobs(Map<String, Map<String, Object>> store) {
        JobRecord open = JobRecord.open(0, batchJob("wk-000001"), ACCEPTED_MS);
        JobRecord service = JobRecord.open(1, serviceJob("wk-000002"), ACCEPTED_MS + 1);
        JobRecord started =
                new JobRecord(
                        0,
                        JobStatus.OPEN,
                        /* taskCount= */ 7,
                        ACCEPTED_MS,
                        /* highWaterMark= */ 3,
                        open.specFields());
        store.put(StoreSchema.jobKey("wk-000001"), open.toMap());
        store.put(StoreSchema.jobKey("wk-000002"), service.toMap());
        store.put(StoreSchema.jobKey("wk-000003"), started.toMap());
        store.put(StoreSchema.jobKey("wk-000004"), open.asDone().toMap());
        store.put(
                StoreSchema.jobKey("wk-000005"), open.asCancelled(LARGE_VALUE_LIMIT_BYTES).toMap());
        // No description fits into the limit, so the record keeps only its resources.
        store.put(StoreSchema.jobKey("wk-000006"), open.asCancelled(1).toMap());
        Map<String, Map<String, Object>> submissions = new LinkedHashMap<>();
        submissions.put("wk-000007", open.toMap());
        submissions.put("wk-000008", service.toMap());
        store.put(
                StoreSchema.submissionBatchKey("node-0/a1", 5),
                SubmissionBatchRecord.toMap(submissions));
    }

    private static void putMachines(Map<String, Map<String, Object>> store) {
        Map<String, MachineRecord> group = new TreeMap<>();
        group.put("host-000201", new MachineRecord(0, "box", "a", false, ACCEPTED_MS, true));
        group.put("host-000202", new MachineRecord(1, "large", "b", true, ACCEPTED_MS, false));
        for (int valueBytes : new int[] {LARGE_VALUE_LIMIT_BYTES, SMALL_VALUE_LIMIT_BYTES}) {
            String key = StoreSchema.machineGroupKey("host-000201", valueBytes);
            store.put(key, MachineGroupRecord.toMap(key, group));
        }
    }

    private static JobSpec batchJob(String id) {
        return new JobSpecBuilder(id)
                .jobClass("class")
                .priority(JobSpec.Priority.HIGH)
                .taskCount(7)
                .cpus(1.5)
                .gpus(1)
                .memGb(4)
                .image("img-1")
                .imageGb(2.5)
                .machineTypes(List.of("box", "large"))
                .zone("a")
                .estimatedRunS(20)
                .checkpointIntervalS(30)
                .checkpointDurationS(2)
                .deadlineS(90)
                .build();
    }

    private static JobSpec serviceJob(String id) {
        return new JobSpecBuilder(id)
                .jobClass("gate")
                .team("team-1")
                .workloadType(JobSpec.WorkloadType.SERVICE)
                .priority(JobSpec.Priority.PRODUCTION)
                .taskCount(3)
                .singleZone(true)
                .spreadAcrossZones(true)
                .spotAllowed(false)
                .estimatedRunS(0)
                .build();
    }

    /** Returns the value after its record class has read and written it. */
    public static Map<String, Object> roundTrip(String key, Map<String, Object> value) {
        if (key.contains("/done/")) {
            return CompletionRecord.fromMap(value).toMap();
        } else if (key.contains("/begun/")) {
            return HighWaterMarkRecord.toMap(HighWaterMarkRecord.fromMap(value).highWaterMarks());
        } else if (key.startsWith(StoreSchema.SHARD_PREFIX)) {
            return ShardRecord.fromMap(value).toMap();
        } else if (key.startsWith(StoreSchema.JOB_PREFIX)) {
            return JobRecord.fromMap(value).toMap();
        } else if (key.startsWith(StoreSchema.SUBMISSION_BATCH_PREFIX)) {
            Map<String, Map<String, Object>> jobs = new LinkedHashMap<>();
            SubmissionBatchRecord.fromMap(value)
                    .jobs()
                    .forEach((id, job) -> jobs.put(id, job.toMap()));
            return SubmissionBatchRecord.toMap(jobs);
        } else if (key.startsWith(StoreSchema.MACHINE_PREFIX)) {
            return MachineGroupRecord.toMap(key, MachineGroupRecord.fromMap(key, value).machines());
        } else if (key.startsWith(StoreSchema.quotaKey(""))) {
            return QuotaRecord.fromMap(value, 2).toMap();
        }
        throw new IllegalArgumentException("no record class for key " + key);
    }

    /** Returns the job description that a job's record contains; null if it contains none. */
    public static JobSpec parseJobSpec(Map<String, Object> value) {
        JobRecord job = JobRecord.fromMap(value);
        return job.specFields() == null ? null : job.parseSpec();
    }
}
