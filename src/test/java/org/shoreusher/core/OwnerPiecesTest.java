package org.shoreusher.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.Command.StateReply;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.core.Hint.Claim;
import org.shoreusher.core.StoreSchema.QuotaRecord;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;

/** Unit tests of the classes that a leader consists of. */
class OwnerPiecesTest {

    // ---- the store cache
    // -----------------------------------------------------------------------

    /** Returns the first operation that was sent to the store, or null. */
    private static StateOp asked(Outbox outbox) {
        return outbox.drainEffects().stream()
                .filter(e -> e instanceof Effect.StateCall)
                .map(e -> ((Effect.StateCall) e).operation())
                .findFirst()
                .orElse(null);
    }

    /**
     * This node's own write of a terminal state removes the job from the cache. A watch response
     * from before that write must not bring the job back as open, or its tasks would start again.
     */
    @Example
    void oldNewsDoesNotBringADoneJobBack() {
        Outbox outbox = new Outbox(OrderTestData.settings(List.of()), 1);
        List<String> seen = new ArrayList<>();
        StoreView view =
                new StoreView(
                        outbox,
                        OrderTestData.settings(List.of()),
                        (key, before, after) -> seen.add(key));
        outbox.now = new ClockReading(1_000, 1_000);
        view.step();
        assertTrue(asked(outbox) instanceof StateOp.Page);
        outbox.onReply(
                new StateReply(1, 200, Map.of("entries", List.of(), "more", false, "ledger", 5L)));
        view.apply("job/wk-1", Map.of("status", "DONE"), 9);
        view.evict("job/wk-1");
        view.step();
        assertEquals(new StateOp.Watch(5, 0), asked(outbox));
        outbox.onReply(
                new StateReply(
                        2,
                        200,
                        Map.of(
                                "ledger",
                                7L,
                                "log",
                                List.of(
                                        Map.of(
                                                "write",
                                                "job/wk-1",
                                                "value",
                                                Map.of("status", "OPEN"),
                                                "stamp",
                                                6L)))));
        assertNull(view.get("job/wk-1"));
        assertEquals(List.of("job/wk-1"), seen);
        assertTrue(view.isLoaded());
    }

    /**
     * A watch response that is too long fails each time it is requested. A cache that stays
     * outdated is read in pages instead.
     */
    @Example
    void aViewWhoseWatchKeepsFailingIsReadInPages() {
        Outbox outbox = new Outbox(OrderTestData.settings(List.of()), 1);
        StoreView view =
                new StoreView(
                        outbox, OrderTestData.settings(List.of()), (key, before, after) -> {});
        outbox.now = new ClockReading(1_000, 1_000);
        view.step();
        asked(outbox);
        outbox.onReply(
                new StateReply(1, 200, Map.of("entries", List.of(), "more", false, "ledger", 5L)));
        view.step();
        asked(outbox);
        outbox.onReply(new StateReply(2, 200, Map.of("ledger", 5L, "log", List.of())));
        StateOp last = null;
        for (int call = 3; call < 100 && !(last instanceof StateOp.Page); call++) {
            outbox.now =
                    new ClockReading(outbox.now.monotonicMs() + 500, outbox.now.wallMs() + 500);
            view.step();
            last = asked(outbox);
            assertTrue(
                    last instanceof StateOp.Page == outbox.now.monotonicMs() > 21_000 + 500,
                    "at " + outbox.now.monotonicMs() + " asked for " + last);
            outbox.onReply(new StateReply(call, 0, null));
        }
        assertTrue(last instanceof StateOp.Page);
    }

    // ---- quota shares
    // --------------------------------------------------------------------------

    @Property(tries = 300, seed = "21")
    void sharesSumToTheLimit(
            @ForAll @IntRange(max = 500) int limit, @ForAll @IntRange(min = 1, max = 5) int parts) {
        QuotaRecord record = QuotaRecord.splitEvenly(limit, 0, parts);
        assertEquals(limit, Arrays.stream(record.cpus()).sum(), 1e-9);
        assertTrue(Arrays.stream(record.cpus()).allMatch(c -> c >= 0));
        QuotaRecord read = QuotaRecord.fromMap(record.toMap(), parts);
        assertTrue(Arrays.equals(record.cpus(), read.cpus()));
        // Shares for another number of shards are ignored.
        assertEquals(0, Arrays.stream(QuotaRecord.fromMap(record.toMap(), parts + 1).cpus()).sum());
    }

    /** A shard without a demand report keeps its share, and urgent demand is served first. */
    @Property(tries = 300, seed = "22")
    void targetsRespectSilenceAndUrgency(@ForAll @LongRange(min = 0) long seed) {
        Random r = new Random(seed);
        int parts = 2 + r.nextInt(2);
        double[] shares = new double[parts];
        Claim[] claims = new Claim[parts];
        for (int m = 0; m < parts; m++) {
            shares[m] = r.nextInt(40);
            claims[m] = r.nextInt(4) == 0 ? null : new Claim(r.nextInt(30), r.nextInt(60));
        }
        double max = Arrays.stream(shares).sum();
        double[] targets = Quota.targetShares(max, claims, shares, 1);
        double urgent =
                Arrays.stream(claims)
                        .filter(c -> c != null)
                        .mapToDouble(Claim::highPriorityCpus)
                        .sum();
        double silent = 0;
        for (int m = 0; m < parts; m++) {
            silent += claims[m] == null ? shares[m] : 0;
        }
        for (int m = 0; m < parts; m++) {
            assertTrue(claims[m] != null || targets[m] == shares[m]);
            assertTrue(
                    claims[m] == null
                            || urgent > max - silent
                            || targets[m] >= claims[m].highPriorityCpus() - 0.5);
        }
        assertTrue(Arrays.stream(targets).sum() <= max + parts);
    }

    // ---- submissions, marks, failures
    // ----------------------------------------------------------

    /**
     * Two nodes have accepted the same job for different shards. Whichever record a node sees
     * first, the older one counts. Otherwise each leader might leave the job to the other, and
     * nobody would start it. The job's own record takes precedence over both.
     */
    @Example
    void theOlderOfTwoRecordsOfAnArrivalCounts() {
        Settings s = OrderTestData.settings(List.of());
        JobSpec spec =
                OrderTestData.job("wk-1", "c", JobSpec.Priority.HIGH, 3, 1, Double.NaN, 0).spec;
        for (boolean olderFirst : new boolean[] {true, false}) {
            Outbox outbox = new Outbox(s, 2);
            Arrivals[] arrivals = new Arrivals[1];
            List<Integer> told = new ArrayList<>();
            StoreView view =
                    new StoreView(
                            outbox,
                            s,
                            (key, before, after) -> {
                                if (key.startsWith(StoreSchema.SUBMISSION_BATCH_PREFIX)) {
                                    arrivals[0].batchChanged(
                                            key,
                                            after,
                                            (id, record) -> told.add(record.shardNumber()));
                                }
                            });
            arrivals[0] = new Arrivals(s, outbox, view);
            for (int part : olderFirst ? new int[] {1, 0} : new int[] {0, 1}) {
                view.apply(
                        StoreSchema.submissionBatchKey("n/" + part, 1),
                        StoreSchema.ArrivalRecord.toMap(
                                Map.of("wk-1", StoreSchema.JobRecord.open(part, spec, 0).toMap())),
                        part == 1 ? 5 : 6);
            }
            assertEquals(1, arrivals[0].jobRecord("wk-1").shardNumber());
            assertEquals(1, told.get(told.size() - 1));
            view.apply(
                    StoreSchema.jobKey("wk-1"), StoreSchema.JobRecord.open(0, spec, 0).toMap(), 7);
            assertEquals(0, arrivals[0].jobRecord("wk-1").shardNumber());
        }
    }

    /**
     * High-water marks of any number of jobs are stored in records below the value limit, and a
     * successor finds each mark.
     */
    @Property(tries = 30, seed = "11")
    void marksStayBelowTheValueLimit(
            @ForAll @IntRange(min = 1, max = 400) int count,
            @ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        Settings s = OrderTestData.settings(List.of());
        Outbox outbox = new Outbox(s, 1);
        outbox.now = new ClockReading(1_000, 1_000);
        StoreView view = new StoreView(outbox, s, (key, before, after) -> {});
        Arrivals arrivals = new Arrivals(s, outbox, view);
        PartOwnership ownership =
                new PartOwnership(
                        0,
                        s,
                        outbox,
                        view,
                        new StoreSchema.PartRecord("n/1", 60_000, 1, Map.of(), null),
                        outbox.now,
                        1);
        Map<String, Job> jobs = new java.util.LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            Job job =
                    OrderTestData.job(
                            "wk-" + (1_000_000 + i),
                            "c",
                            JobSpec.Priority.HIGH,
                            1 + random.nextInt(100_000),
                            1,
                            Double.NaN,
                            0);
            jobs.put(job.id, job);
            view.apply(
                    StoreSchema.jobKey(job.id),
                    StoreSchema.JobRecord.open(0, job.spec, 0).toMap(),
                    1);
        }
        StartMarks marks =
                new StartMarks(
                        0,
                        1,
                        new NodeContext(s, Features.NONE, outbox, view, arrivals, null, null, null),
                        ownership,
                        jobs);
        long revision = 1;
        for (int round = 0;
                round < 200 && jobs.values().stream().anyMatch(j -> j.highWaterMark == 0);
                round++) {
            jobs.values().forEach(j -> marks.request(j, j.highWaterMark == 0 ? 1 : 0));
            outbox.now = new ClockReading(outbox.now.monotonicMs() + 300, outbox.now.wallMs() + 10);
            marks.writeRequestedMarks();
            for (Effect e : outbox.drainEffects()) {
                Effect.StateCall call = (Effect.StateCall) e;
                ((StateOp.Multi) call.operation())
                        .writes()
                        .forEach(
                                (key, value) ->
                                        assertTrue(
                                                org.shoreusher.wire.FieldMap.jsonLength(value)
                                                        <= s.maxValueBytes(),
                                                key));
                outbox.onReply(new StateReply(call.callId(), 200, Map.of("ledger", ++revision)));
            }
        }
        Map<String, Job> taken = new java.util.LinkedHashMap<>();
        jobs.values().forEach(j -> taken.put(j.id, new Job(j.id, j.spec, 0)));
        new StartMarks(
                        0,
                        1,
                        new NodeContext(s, Features.NONE, outbox, view, arrivals, null, null, null),
                        ownership,
                        taken)
                .load();
        jobs.values()
                .forEach(
                        j ->
                                assertEquals(
                                        Math.max(1, j.highWaterMark),
                                        taken.get(j.id).highWaterMark,
                                        j.id));
    }

    /** A job whose tasks fail on every machine is distinguished from a faulty machine. */
    @Example
    void aJobThatFailsEverywhereIsSuspectAndTriedRarely() {
        Job job = OrderTestData.job("wk-1", "c", JobSpec.Priority.LOW, 5, 10, Double.NaN, 0);
        job.recordFailure("m-1", 1_000);
        assertTrue(!job.isSuspectedFaulty() && !job.isBackingOff(1_000));
        job.recordFailure("m-2", 2_000);
        assertTrue(job.isSuspectedFaulty() && job.isBackingOff(2_500));
        job.completedTasks.set(0);
        assertTrue(!job.isSuspectedFaulty());
    }

    /**
     * One slow task is chance. Several slow tasks in a row, far beyond the differences between
     * machines of a type, show a slow machine.
     */
    @Example
    void aSlowMachineIsToldFromASlowTask() {
        MachineType type = new MachineType("t", 8, 0, 16, 10, 1, 1, 0.4, 10, List.of("a"));
        Machine slow = new Machine("m-1", type, "a", true, 0);
        Machine good = new Machine("m-2", type, "a", true, 0);
        for (int i = 0; i < 6; i++) {
            slow.recordRunTime(4);
            good.recordRunTime(i == 2 ? 4 : 1.1);
        }
        assertTrue(slow.isSlow());
        assertTrue(!good.isSlow());
    }
}
