package org.shoreusher.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.CompletionRecordSplitter;
import org.shoreusher.core.store.TaskRanges;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;
import org.shoreusher.wire.FieldMap;

/**
 * Completion records stay within the size limit on values whichever tasks have completed, and
 * durable completions are never lost, whichever version wrote them.
 */
class CompletionRecordsTest {

    private static Settings settings(int valueBytes) {
        return new SettingsBuilder(CoreTestData.settings(List.of()))
                .teams()
                .storeRequestsPerS(100)
                .storeLimits(100, valueBytes, 4)
                .build();
    }

    private static Job job(int number, int tasks) {
        String id = String.format("wk-%06d", number);
        return new Job(
                id,
                new JobSpecBuilder(id)
                        .jobClass("c")
                        .team("team")
                        .priority(JobSpec.Priority.NORMAL)
                        .taskCount(tasks)
                        .image("i")
                        .estimatedRunS(10)
                        .build(),
                0);
    }

    private static BitSet storedCompletions(Map<Integer, Map<String, Object>> store, String id) {
        BitSet all = new BitSet();
        store.values()
                .forEach(
                        record -> {
                            if (record.get(id) instanceof String ranges) {
                                all.or(TaskRanges.parse(ranges));
                            }
                        });
        return all;
    }

    /** The store of a shard whose completions a leader writes at each lease renewal. */
    private static final class ShardStore {
        private final Random random;
        private final Settings settings;
        private final int previousValueBytes;
        private final List<Job> jobs = new ArrayList<>();
        private final Map<Integer, Map<String, Object>> records = new LinkedHashMap<>();

        ShardStore(Random random) {
            this.random = random;
            settings = settings(new int[] {1024, 2048, 8192}[random.nextInt(3)]);
            previousValueBytes = new int[] {1024, 8192}[random.nextInt(2)];
        }

        /** Fills records as a previous leader may have left them. */
        void fill() {
            records.put(0, new LinkedHashMap<>());
            int recordCount = 1 + random.nextInt(4);
            for (int recordNumber = 1; recordNumber < recordCount; recordNumber++) {
                records.put(recordNumber, new LinkedHashMap<>());
            }
            for (int i = 0; i < 1 + random.nextInt(12); i++) {
                Job job = job(i, 1 + random.nextInt(1500));
                jobs.add(job);
                for (int copies = random.nextInt(3); copies > 0; copies--) {
                    storeSomeCompletions(job, recordCount);
                }
            }
        }

        private void storeSomeCompletions(Job job, int recordCount) {
            BitSet completed = new BitSet();
            int upTo = random.nextInt(job.spec().taskCount() + 1);
            for (int taskIndex = 0; taskIndex < upTo; taskIndex++) {
                completed.set(taskIndex, random.nextInt(3) > 0);
            }
            int recordNumber = random.nextInt(recordCount);
            Map<String, Object> record = records.get(recordNumber);
            record.put(job.id(), TaskRanges.format(completed));
            // A leader fills a record to at most three quarters of the limit.
            // A successor splits the shard's own record if it is too long to be written again.
            int maxBytes =
                    recordNumber == 0
                            ? Math.min(previousValueBytes, settings.maxValueBytes())
                            : previousValueBytes;
            if (FieldMap.jsonLength(record) > maxBytes * 0.75) {
                record.remove(job.id());
            }
        }

        /** Loads the records as a new leader does. */
        void load() {
            for (Job job : jobs) {
                records.forEach(
                        (recordNumber, record) -> {
                            if (record.get(job.id()) instanceof String ranges) {
                                BitSet completed = TaskRanges.parse(ranges);
                                job.completedTasks().or(completed);
                                job.durablyCompletedTasks().or(completed);
                                CompletionRecords.adoptStoredRecord(
                                        job, completed, recordNumber, settings);
                            }
                        });
            }
        }

        void completeSomeTasks() {
            for (Job job : jobs) {
                for (int count = random.nextInt(40); count > 0; count--) {
                    job.completedTasks().set(random.nextInt(job.spec().taskCount()));
                }
            }
        }

        /**
         * Writes as many records as a transaction allows, as a lease renewal does. With {@code
         * mayFail}, one write in four fails.
         */
        void renewLease(boolean mayFail) {
            CompletionRecords completionRecords =
                    CompletionRecords.layOut(
                            jobs,
                            settings,
                            recordNumber -> records.getOrDefault(recordNumber, Map.of()));
            Map<Integer, Map<String, Object>> writes = new LinkedHashMap<>();
            writes.put(0, completionRecords.completedRanges(0));
            for (int recordNumber = 1;
                    recordNumber < completionRecords.recordCount()
                            && writes.size() < settings.maxTransactionWrites();
                    recordNumber++) {
                Map<String, Object> wanted = completionRecords.completedRanges(recordNumber);
                if (!wanted.equals(records.get(recordNumber))) {
                    writes.put(recordNumber, wanted);
                }
            }
            writes.forEach(
                    (recordNumber, record) ->
                            assertTrue(
                                    FieldMap.jsonLength(record) <= settings.maxValueBytes(),
                                    () ->
                                            "bytes of record "
                                                    + recordNumber
                                                    + ": "
                                                    + FieldMap.jsonLength(record)));
            if (random.nextInt(4) > 0 || !mayFail) {
                records.putAll(writes);
                completionRecords.markDurable();
            }
        }

        void assertDurableCompletionsStored() {
            for (Job job : jobs) {
                BitSet missing = (BitSet) job.durablyCompletedTasks().clone();
                missing.andNot(storedCompletions(records, job.id()));
                assertTrue(
                        missing.isEmpty(),
                        () -> "lost completions of " + job.id() + ": " + missing);
                BitSet notCompleted = storedCompletions(records, job.id());
                notCompleted.andNot(job.completedTasks());
                assertTrue(notCompleted.isEmpty(), "stored but not completed: " + notCompleted);
            }
        }
    }

    /**
     * A previous leader has filled the store, possibly under a higher size limit on values and with
     * a job's completions in one or two records. A leader then renews its lease, and some of the
     * writes fail. After each write, all durable completions are still in the store, and at the end
     * all completions are durable.
     */
    @Property(tries = 150, seed = "12", shrinking = ShrinkingMode.OFF)
    void durableCompletionsStayDurable(@ForAll @LongRange(min = 0) long seed) {
        ShardStore store = new ShardStore(new Random(seed));
        store.fill();
        store.load();
        // Tasks complete before the first 30 renewals; writes may fail in the first 41.
        for (int renewal = 0; renewal < 60; renewal++) {
            if (renewal < 30) {
                store.completeSomeTasks();
            }
            store.renewLease(renewal <= 40);
            store.assertDurableCompletionsStored();
        }
        store.jobs.forEach(
                job -> assertEquals(job.completedTasks(), job.durablyCompletedTasks(), job.id()));
    }

    /**
     * The completions of a shard's own record are split into records within the size limit on
     * values; none is lost or stored twice.
     */
    @Property(tries = 150, seed = "13", shrinking = ShrinkingMode.OFF)
    void splitsAnOversizedRecord(@ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        Settings settings = settings(1024 << random.nextInt(2));
        Map<String, Object> recordToSplit = new LinkedHashMap<>();
        Map<String, BitSet> completedByJob = new LinkedHashMap<>();
        Map<String, BitSet> alreadyStoredByJob = new LinkedHashMap<>();
        for (int i = 0; i < 1 + random.nextInt(20); i++) {
            Job job = job(i, 1 + random.nextInt(1500));
            for (int taskIndex = 0; taskIndex < job.spec().taskCount(); taskIndex++) {
                job.completedTasks().set(taskIndex, random.nextBoolean());
            }
            BitSet alreadyStored = new BitSet();
            if (random.nextBoolean()) {
                alreadyStored.set(0, random.nextInt(800));
            }
            completedByJob.put(job.id(), job.completedTasks());
            alreadyStoredByJob.put(job.id(), alreadyStored);
            recordToSplit.put(job.id(), TaskRanges.format(job.completedTasks()));
        }
        Map<String, BitSet> storedByJob = new LinkedHashMap<>(alreadyStoredByJob);
        for (Map<String, Object> record :
                CompletionRecordSplitter.split(recordToSplit, settings, alreadyStoredByJob::get)) {
            assertTrue(FieldMap.jsonLength(record) <= settings.maxValueBytes());
            record.forEach(
                    (id, ranges) -> {
                        BitSet set = TaskRanges.parse((String) ranges);
                        assertTrue(!set.intersects(storedByJob.get(id)), "stored twice: " + id);
                        storedByJob.merge(
                                id,
                                set,
                                (earlier, later) -> {
                                    BitSet both = (BitSet) earlier.clone();
                                    both.or(later);
                                    return both;
                                });
                    });
        }
        completedByJob.forEach(
                (id, set) -> {
                    BitSet missing = (BitSet) set.clone();
                    missing.andNot(storedByJob.get(id));
                    assertTrue(
                            missing.isEmpty(), () -> "lost completions of " + id + ": " + missing);
                });
    }
}
