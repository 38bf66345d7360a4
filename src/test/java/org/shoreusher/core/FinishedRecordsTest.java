package org.shoreusher.core;

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
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;
import org.shoreusher.wire.FieldMap;

/**
 * Completion records stay below the value limit whatever has completed, and durable completions
 * stay durable, whichever version wrote them.
 */
class FinishedRecordsTest {

    private static Settings settings(int valueBytes) {
        return new SettingsBuilder(OrderTestData.settings(List.of()))
                .teams()
                .stateRps(100)
                .limits(100, valueBytes, 4)
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
                        .tasks(tasks)
                        .image("i")
                        .estimateS(10)
                        .build(),
                0);
    }

    private static BitSet of(Map<Integer, Map<String, Object>> store, String id) {
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

    /**
     * The store was filled by a previous leader, perhaps under a higher value limit and with a
     * job's completions in one record or in two. Then a leader renews its lease, and some of the
     * writes fail. After each write all durable completions are still in the store, and at the end
     * all completions are.
     */
    @Property(tries = 150, seed = "12", shrinking = ShrinkingMode.OFF)
    void whatIsDurableStaysSo(@ForAll @LongRange(min = 0) long seed) {
        Random r = new Random(seed);
        Settings s = settings(new int[] {1024, 2048, 8192}[r.nextInt(3)]);
        int former = new int[] {1024, 8192}[r.nextInt(2)];
        List<Job> jobs = new ArrayList<>();
        Map<Integer, Map<String, Object>> store = new LinkedHashMap<>();
        store.put(0, new LinkedHashMap<>());
        int records = 1 + r.nextInt(4);
        for (int c = 1; c < records; c++) {
            store.put(c, new LinkedHashMap<>());
        }
        for (int i = 0; i < 1 + r.nextInt(12); i++) {
            Job job = job(i, 1 + r.nextInt(1500));
            jobs.add(job);
            for (int copies = r.nextInt(3); copies > 0; copies--) {
                BitSet set = new BitSet();
                int upTo = r.nextInt(job.spec.taskCount() + 1);
                for (int t = 0; t < upTo; t++) {
                    set.set(t, r.nextInt(3) > 0);
                }
                int c = r.nextInt(records);
                Map<String, Object> record = store.get(c);
                record.put(job.id, TaskRanges.format(set));
                // A successor splits a shard's own record that is too long to be written again.
                if (FieldMap.jsonLength(record)
                        > (c == 0 ? Math.min(former, s.maxValueBytes()) : former) * 0.75) {
                    record.remove(job.id);
                }
            }
        }
        for (Job job : jobs) {
            store.forEach(
                    (c, record) -> {
                        if (record.get(job.id) instanceof String ranges) {
                            BitSet set = TaskRanges.parse(ranges);
                            job.completedTasks.or(set);
                            job.durablyCompletedTasks.or(set);
                            FinishedRecords.adoptStoredRecord(job, set, c, s);
                        }
                    });
        }
        for (int beat = 0; beat < 60; beat++) {
            for (Job job : jobs) {
                if (beat < 30) {
                    for (int n = r.nextInt(40); n > 0; n--) {
                        job.completedTasks.set(r.nextInt(job.spec.taskCount()));
                    }
                }
            }
            FinishedRecords laid =
                    FinishedRecords.layOut(jobs, s, c -> store.getOrDefault(c, Map.of()));
            Map<Integer, Map<String, Object>> writes = new LinkedHashMap<>();
            writes.put(0, laid.recordValue(0));
            for (int c = 1;
                    c < laid.recordCount() && writes.size() < s.maxTransactionWrites();
                    c++) {
                Map<String, Object> wanted = laid.recordValue(c);
                if (!wanted.equals(store.get(c))) {
                    writes.put(c, wanted);
                }
            }
            writes.forEach(
                    (c, record) ->
                            assertTrue(
                                    FieldMap.jsonLength(record) <= s.maxValueBytes(),
                                    "record " + c + " of " + FieldMap.jsonLength(record)));
            if (r.nextInt(4) > 0 || beat > 40) {
                store.putAll(writes);
                laid.markDurable();
            }
            for (Job job : jobs) {
                BitSet lost = (BitSet) job.durablyCompletedTasks.clone();
                lost.andNot(of(store, job.id));
                assertTrue(lost.isEmpty(), () -> "lost of " + job.id + ": " + lost);
                BitSet untrue = of(store, job.id);
                untrue.andNot(job.completedTasks);
                assertTrue(untrue.isEmpty(), "not finished: " + untrue);
            }
        }
        jobs.forEach(job -> assertEquals(job.completedTasks, job.durablyCompletedTasks, job.id));
    }

    /**
     * The completions of a shard's own record are split into records below the value limit; none is
     * lost or stored twice.
     */
    @Property(tries = 150, seed = "13", shrinking = ShrinkingMode.OFF)
    void aRecordThatIsTooLongIsCutUp(@ForAll @LongRange(min = 0) long seed) {
        Random r = new Random(seed);
        Settings s = settings(1024 << r.nextInt(2));
        Map<String, Object> done = new LinkedHashMap<>();
        Map<String, BitSet> all = new LinkedHashMap<>();
        Map<String, BitSet> covered = new LinkedHashMap<>();
        for (int i = 0; i < 1 + r.nextInt(20); i++) {
            Job job = job(i, 1 + r.nextInt(1500));
            for (int t = 0; t < job.spec.taskCount(); t++) {
                job.completedTasks.set(t, r.nextBoolean());
            }
            BitSet there = new BitSet();
            if (r.nextBoolean()) {
                there.set(0, r.nextInt(800));
            }
            all.put(job.id, job.completedTasks);
            covered.put(job.id, there);
            done.put(job.id, TaskRanges.format(job.completedTasks));
        }
        Map<String, BitSet> found = new LinkedHashMap<>(covered);
        for (Map<String, Object> piece : FinishedRecords.splitIntoRecords(done, s, covered::get)) {
            assertTrue(FieldMap.jsonLength(piece) <= s.maxValueBytes());
            piece.forEach(
                    (id, ranges) -> {
                        BitSet set = TaskRanges.parse((String) ranges);
                        assertTrue(!set.intersects(found.get(id)), "told twice: " + id);
                        found.merge(
                                id,
                                set,
                                (a, b) -> {
                                    BitSet both = (BitSet) a.clone();
                                    both.or(b);
                                    return both;
                                });
                    });
        }
        all.forEach(
                (id, set) -> {
                    BitSet left = (BitSet) set.clone();
                    left.andNot(found.get(id));
                    assertTrue(left.isEmpty(), id);
                });
    }
}
