package org.shoreusher.core;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.core.StoreSchema.ArrivalRecord;
import org.shoreusher.core.StoreSchema.FinishedRecord;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.StoreSchema.JobStatus;
import org.shoreusher.core.StoreSchema.MachineGroup;
import org.shoreusher.core.StoreSchema.MachineRecord;
import org.shoreusher.core.StoreSchema.MarkRecord;
import org.shoreusher.core.StoreSchema.PartRecord;
import org.shoreusher.core.StoreSchema.QuotaRecord;

/** A stored record of every kind, by its key, and records read and written again. */
public final class StoredRecords {
    private static final long ACCEPTED_MS = 1_700_000_000_000L;
    private static final int WIDE = 8_192;
    private static final int NARROW = 1_024;

    private StoredRecords() {}

    /** Records of every kind as they are written now. */
    public static Map<String, Map<String, Object>> samples() {
        Map<String, Map<String, Object>> store = new LinkedHashMap<>();
        Map<String, Object> done = Map.of("wk-000001", "0-3,7");
        store.put(
                StoreSchema.part(0),
                new PartRecord("node-0/a1", ACCEPTED_MS, 9, done, "node-1/b2").write());
        store.put(
                StoreSchema.part(1),
                new PartRecord("node-2/c3", ACCEPTED_MS, 4, Map.of(), null).write());
        store.put(StoreSchema.done(0, 1), new FinishedRecord(done).write());
        store.put(StoreSchema.begun(0, 0), MarkRecord.write(Map.of("wk-000001", 12)));
        store.put(StoreSchema.quota("team-0"), QuotaRecord.split(25, 3, 2).write());
        jobs(store);
        machines(store);
        return store;
    }

    private static void jobs(Map<String, Map<String, Object>> store) {
        JobRecord open = JobRecord.open(0, batch("wk-000001"), ACCEPTED_MS);
        JobRecord service = JobRecord.open(1, service("wk-000002"), ACCEPTED_MS + 1);
        JobRecord begun = new JobRecord(0, JobStatus.OPEN, 7, ACCEPTED_MS, 3, open.spec());
        store.put(StoreSchema.job("wk-000001"), open.write());
        store.put(StoreSchema.job("wk-000002"), service.write());
        store.put(StoreSchema.job("wk-000003"), begun.write());
        store.put(StoreSchema.job("wk-000004"), open.done().write());
        store.put(StoreSchema.job("wk-000005"), open.cancelled(WIDE).write());
        store.put(StoreSchema.job("wk-000006"), open.cancelled(1).write());
        Map<String, Map<String, Object>> arrived = new LinkedHashMap<>();
        arrived.put("wk-000007", open.write());
        arrived.put("wk-000008", service.write());
        store.put(StoreSchema.arrived("node-0/a1", 5), ArrivalRecord.write(arrived));
    }

    private static void machines(Map<String, Map<String, Object>> store) {
        Map<String, MachineRecord> group = new TreeMap<>();
        group.put("host-000201", new MachineRecord(0, "box", "a", false, ACCEPTED_MS, true));
        group.put("host-000202", new MachineRecord(1, "large", "b", true, ACCEPTED_MS, false));
        for (int valueBytes : new int[] {WIDE, NARROW}) {
            String key = StoreSchema.machine("host-000201", valueBytes);
            store.put(key, MachineGroup.write(key, group));
        }
    }

    private static JobSpec batch(String id) {
        return new JobSpecBuilder(id)
                .jobClass("class")
                .priority(JobSpec.Priority.HIGH)
                .tasks(7)
                .cpus(1.5)
                .gpus(1)
                .memGb(4)
                .image("img-1")
                .imageGb(2.5)
                .types(List.of("box", "large"))
                .zone("a")
                .estimateS(20)
                .checkpointS(30)
                .saveS(2)
                .deadlineS(90)
                .build();
    }

    private static JobSpec service(String id) {
        return new JobSpecBuilder(id)
                .jobClass("gate")
                .team("team-1")
                .shape(JobSpec.Shape.SERVICE)
                .priority(JobSpec.Priority.PRODUCTION)
                .tasks(3)
                .oneZone(true)
                .spread(true)
                .spot(false)
                .estimateS(0)
                .build();
    }

    /** The value as the class of its record writes it again after reading it. */
    public static Map<String, Object> again(String key, Map<String, Object> value) {
        if (key.contains("/done/")) {
            return FinishedRecord.read(value).write();
        } else if (key.contains("/begun/")) {
            return MarkRecord.write(MarkRecord.read(value).below());
        } else if (key.startsWith(StoreSchema.PART)) {
            return PartRecord.read(value).write();
        } else if (key.startsWith(StoreSchema.JOB)) {
            return JobRecord.read(value).write();
        } else if (key.startsWith(StoreSchema.ARRIVED)) {
            Map<String, Map<String, Object>> jobs = new LinkedHashMap<>();
            ArrivalRecord.read(value).jobs().forEach((id, job) -> jobs.put(id, job.write()));
            return ArrivalRecord.write(jobs);
        } else if (key.startsWith(StoreSchema.MACHINE)) {
            return MachineGroup.write(key, MachineGroup.read(key, value).machines());
        } else if (key.startsWith(StoreSchema.quota(""))) {
            return QuotaRecord.read(value, 2).write();
        }
        throw new IllegalArgumentException("no record has the key " + key);
    }

    /** The description of a job's record as it is stored after reading it; null: it has none. */
    public static JobSpec description(Map<String, Object> value) {
        JobRecord job = JobRecord.read(value);
        return job.spec() == null ? null : job.description();
    }
}
