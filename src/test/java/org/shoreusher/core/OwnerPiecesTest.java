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
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.job.HighWaterMarks;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.GossipMessage.TeamDemand;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.schedule.QuotaTargets;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.QuotaRecord;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.SubmissionBatchRecord;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;

/** Unit tests of the classes that a leader consists of. */
class OwnerPiecesTest {

    // ---- the store cache
    // -----------------------------------------------------------------------

    /** Returns the first operation that was sent to the store, or null. */
    private static StoreOperation nextStoreOperation(Outbox outbox) {
        return outbox.drainEffects().stream()
                .filter(effect -> effect instanceof Effect.StoreCall)
                .map(effect -> ((Effect.StoreCall) effect).operation())
                .findFirst()
                .orElse(null);
    }

    /**
     * This node's own write of a terminal state removes the job from the cache. A watch response
     * from before that write must not bring the job back as open, or its tasks would start again.
     */
    @Example
    void staleWatchResponseDoesNotReviveACompletedJob() {
        Outbox outbox = new Outbox(CoreTestData.settings(List.of()), 1);
        List<String> seen = new ArrayList<>();
        StoreCache storeCache =
                new StoreCache(
                        outbox,
                        CoreTestData.settings(List.of()),
                        (key, before, after) -> seen.add(key));
        outbox.setNow(new ClockReading(1_000, 1_000));
        storeCache.step();
        assertTrue(nextStoreOperation(outbox) instanceof StoreOperation.Page);
        outbox.onReply(
                new StoreReply(1, 200, Map.of("entries", List.of(), "more", false, "ledger", 5L)));
        storeCache.apply("job/wk-1", Map.of("status", "DONE"), 9);
        storeCache.evict("job/wk-1");
        storeCache.step();
        assertEquals(new StoreOperation.Watch(5, 0), nextStoreOperation(outbox));
        outbox.onReply(
                new StoreReply(
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
        assertNull(storeCache.get("job/wk-1"));
        assertEquals(List.of("job/wk-1"), seen);
        assertTrue(storeCache.isLoaded());
    }

    /**
     * A watch response that is too long fails each time it is requested. A cache that stays
     * outdated is read in pages instead.
     */
    @Example
    void rereadsTheStoreInPagesWhenTheWatchKeepsFailing() {
        Outbox outbox = new Outbox(CoreTestData.settings(List.of()), 1);
        StoreCache storeCache =
                new StoreCache(
                        outbox, CoreTestData.settings(List.of()), (key, before, after) -> {});
        outbox.setNow(new ClockReading(1_000, 1_000));
        storeCache.step();
        nextStoreOperation(outbox);
        outbox.onReply(
                new StoreReply(1, 200, Map.of("entries", List.of(), "more", false, "ledger", 5L)));
        storeCache.step();
        nextStoreOperation(outbox);
        outbox.onReply(new StoreReply(2, 200, Map.of("ledger", 5L, "log", List.of())));
        StoreOperation last = null;
        for (int call = 3; call < 100 && !(last instanceof StoreOperation.Page); call++) {
            outbox.setNow(
                    new ClockReading(
                            outbox.now().monotonicMs() + 500, outbox.now().wallMs() + 500));
            storeCache.step();
            last = nextStoreOperation(outbox);
            assertTrue(
                    last instanceof StoreOperation.Page
                            == outbox.now().monotonicMs() > 21_000 + 500,
                    "at " + outbox.now().monotonicMs() + " asked for " + last);
            outbox.onReply(new StoreReply(call, 0, null));
        }
        assertTrue(last instanceof StoreOperation.Page);
    }

    // ---- quota shares
    // --------------------------------------------------------------------------

    @Property(tries = 300, seed = "21")
    void quotaSharesSumToTheLimit(
            @ForAll @IntRange(max = 500) int limit,
            @ForAll @IntRange(min = 1, max = 5) int shardCount) {
        QuotaRecord record = QuotaRecord.splitEvenly(limit, 0, shardCount);
        assertEquals(limit, Arrays.stream(record.cpus()).sum(), 1e-9);
        assertTrue(Arrays.stream(record.cpus()).allMatch(c -> c >= 0));
        QuotaRecord read = QuotaRecord.fromMap(record.toMap(), shardCount);
        assertTrue(Arrays.equals(record.cpus(), read.cpus()));
        // Shares for another number of shards are ignored.
        assertEquals(
                0, Arrays.stream(QuotaRecord.fromMap(record.toMap(), shardCount + 1).cpus()).sum());
    }

    /** A shard without a demand report keeps its share, and urgent demand is served first. */
    @Property(tries = 300, seed = "22")
    void quotaTargetsKeepSilentShardsAndPreferUrgentDemand(@ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        int shardCount = 2 + random.nextInt(2);
        double[] shares = new double[shardCount];
        TeamDemand[] demands = new TeamDemand[shardCount];
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            shares[shardNumber] = random.nextInt(40);
            demands[shardNumber] =
                    random.nextInt(4) == 0
                            ? null
                            : new TeamDemand(random.nextInt(30), random.nextInt(60));
        }
        double max = Arrays.stream(shares).sum();
        double[] targets = QuotaTargets.targetShares(max, demands, shares, 1);
        double urgent =
                Arrays.stream(demands)
                        .filter(demand -> demand != null)
                        .mapToDouble(TeamDemand::highPriorityCpus)
                        .sum();
        double silent = 0;
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            silent += demands[shardNumber] == null ? shares[shardNumber] : 0;
        }
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            assertTrue(demands[shardNumber] != null || targets[shardNumber] == shares[shardNumber]);
            assertTrue(
                    demands[shardNumber] == null
                            || urgent > max - silent
                            || targets[shardNumber]
                                    >= demands[shardNumber].highPriorityCpus() - 0.5);
        }
        assertTrue(Arrays.stream(targets).sum() <= max + shardCount);
    }

    // ---- submissions, marks, failures
    // ----------------------------------------------------------

    /**
     * Two nodes have accepted the same job for different shards. Whichever record a node sees
     * first, the older one counts. Otherwise each leader might leave the job to the other, and
     * nobody would start it. The job's own record takes precedence over both.
     */
    @Example
    void olderOfTwoSubmissionRecordsCounts() {
        Settings settings = CoreTestData.settings(List.of());
        JobSpec spec =
                CoreTestData.job("wk-1", "c", JobSpec.Priority.HIGH, 3, 1, Double.NaN, 0).spec();
        for (boolean olderFirst : new boolean[] {true, false}) {
            Outbox outbox = new Outbox(settings, 2);
            SubmissionBatches[] submissionBatches = new SubmissionBatches[1];
            List<Integer> notified = new ArrayList<>();
            StoreCache storeCache =
                    new StoreCache(
                            outbox,
                            settings,
                            (key, before, after) -> {
                                if (key.startsWith(StoreSchema.SUBMISSION_BATCH_PREFIX)) {
                                    submissionBatches[0].batchChanged(
                                            key,
                                            after,
                                            (id, record) -> notified.add(record.shardNumber()));
                                }
                            });
            submissionBatches[0] = new SubmissionBatches(settings, outbox, storeCache);
            for (int shardNumber : olderFirst ? new int[] {1, 0} : new int[] {0, 1}) {
                storeCache.apply(
                        StoreSchema.submissionBatchKey("n/" + shardNumber, 1),
                        SubmissionBatchRecord.toMap(
                                Map.of("wk-1", JobRecord.open(shardNumber, spec, 0).toMap())),
                        shardNumber == 1 ? 5 : 6);
            }
            assertEquals(1, submissionBatches[0].jobRecord("wk-1").shardNumber());
            assertEquals(1, notified.get(notified.size() - 1));
            storeCache.apply(StoreSchema.jobKey("wk-1"), JobRecord.open(0, spec, 0).toMap(), 7);
            assertEquals(0, submissionBatches[0].jobRecord("wk-1").shardNumber());
        }
    }

    /**
     * High-water marks of any number of jobs are stored in records below the value limit, and a
     * successor finds each mark.
     */
    @Property(tries = 30, seed = "11")
    void highWaterMarkRecordsStayBelowTheValueLimit(
            @ForAll @IntRange(min = 1, max = 400) int count,
            @ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        Settings settings = CoreTestData.settings(List.of());
        Outbox outbox = new Outbox(settings, 1);
        outbox.setNow(new ClockReading(1_000, 1_000));
        StoreCache storeCache = new StoreCache(outbox, settings, (key, before, after) -> {});
        SubmissionBatches submissionBatches = new SubmissionBatches(settings, outbox, storeCache);
        ShardLeadership leadership =
                new ShardLeadership(
                        0,
                        settings,
                        outbox,
                        storeCache,
                        new ShardRecord("n/1", 60_000, 1, Map.of(), null),
                        outbox.now(),
                        1);
        Map<String, Job> jobs = new java.util.LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            Job job =
                    CoreTestData.job(
                            "wk-" + (1_000_000 + i),
                            "c",
                            JobSpec.Priority.HIGH,
                            1 + random.nextInt(100_000),
                            1,
                            Double.NaN,
                            0);
            jobs.put(job.id(), job);
            storeCache.apply(
                    StoreSchema.jobKey(job.id()), JobRecord.open(0, job.spec(), 0).toMap(), 1);
        }
        HighWaterMarks highWaterMarks =
                new HighWaterMarks(
                        0,
                        1,
                        new NodeContext(settings, Features.NONE, outbox, storeCache, null),
                        submissionBatches,
                        leadership,
                        jobs);
        long revision = 1;
        for (int round = 0;
                round < 200 && jobs.values().stream().anyMatch(j -> j.highWaterMark() == 0);
                round++) {
            jobs.values().forEach(j -> highWaterMarks.request(j, j.highWaterMark() == 0 ? 1 : 0));
            outbox.setNow(
                    new ClockReading(outbox.now().monotonicMs() + 300, outbox.now().wallMs() + 10));
            highWaterMarks.writeRequestedMarks();
            for (Effect effect : outbox.drainEffects()) {
                Effect.StoreCall call = (Effect.StoreCall) effect;
                ((StoreOperation.CompareAndSwap) call.operation())
                        .writes()
                        .forEach(
                                (key, value) ->
                                        assertTrue(
                                                org.shoreusher.wire.FieldMap.jsonLength(value)
                                                        <= settings.maxValueBytes(),
                                                key));
                outbox.onReply(new StoreReply(call.callId(), 200, Map.of("ledger", ++revision)));
            }
        }
        Map<String, Job> taken = new java.util.LinkedHashMap<>();
        jobs.values().forEach(j -> taken.put(j.id(), new Job(j.id(), j.spec(), 0)));
        new HighWaterMarks(
                        0,
                        1,
                        new NodeContext(settings, Features.NONE, outbox, storeCache, null),
                        submissionBatches,
                        leadership,
                        taken)
                .load();
        jobs.values()
                .forEach(
                        j ->
                                assertEquals(
                                        Math.max(1, j.highWaterMark()),
                                        taken.get(j.id()).highWaterMark(),
                                        j.id()));
    }

    /** A job whose tasks fail on every machine is distinguished from a faulty machine. */
    @Example
    void jobFailingOnEveryMachineIsSuspectAndBacksOff() {
        Job job = CoreTestData.job("wk-1", "c", JobSpec.Priority.LOW, 5, 10, Double.NaN, 0);
        job.recordFailure("m-1", 1_000);
        assertTrue(!job.isSuspectedFaulty() && !job.isBackingOff(1_000));
        job.recordFailure("m-2", 2_000);
        assertTrue(job.isSuspectedFaulty() && job.isBackingOff(2_500));
        job.completedTasks().set(0);
        assertTrue(!job.isSuspectedFaulty());
    }

    /**
     * One slow task is chance. Several slow tasks in a row, far beyond the differences between
     * machines of a type, show a slow machine.
     */
    @Example
    void distinguishesASlowMachineFromASlowTask() {
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
