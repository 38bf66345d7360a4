package org.shoreusher.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntSupplier;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/** High-water marks, including writes that fail or get no reply. */
class HighWaterMarksTest {
    private static final Settings SETTINGS = CoreTestData.settings(List.of());
    private static final int[] FAILURES = {
        ReplyStatus.NO_REPLY, ReplyStatus.SERVICE_UNAVAILABLE, ReplyStatus.TOO_MANY_REQUESTS
    };

    /** A shard with open jobs whose marks are written by its leader. */
    private static final class LedShard {
        private final Outbox outbox = new Outbox(SETTINGS, 1);
        private final StoreCache storeCache =
                new StoreCache(outbox, SETTINGS, (key, before, after) -> {});
        final Map<String, Job> jobs = new LinkedHashMap<>();
        private final ShardLeadership leadership;
        private long revision = 1;

        /** Starts the leadership of a shard whose jobs have at most {@code maxTasks} tasks. */
        LedShard(int jobCount, int maxTasks, Random random) {
            outbox.setNow(new ClockReading(1_000, 1_000));
            leadership =
                    new ShardLeadership(
                            0,
                            SETTINGS,
                            outbox,
                            storeCache,
                            new ShardRecord("n/1", 60_000, 1, Map.of(), null),
                            outbox.now(),
                            1);
            for (int i = 0; i < jobCount; i++) {
                Job job =
                        CoreTestData.job(
                                "wk-" + (1_000_000 + i),
                                "c",
                                JobSpec.Priority.HIGH,
                                1 + random.nextInt(maxTasks),
                                1,
                                Double.NaN,
                                0);
                jobs.put(job.id(), job);
                storeCache.apply(
                        StoreSchema.jobKey(job.id()), JobRecord.open(0, job.spec(), 0).toMap(), 1);
            }
        }

        HighWaterMarks highWaterMarks(Map<String, Job> markedJobs) {
            return new HighWaterMarks(
                    0,
                    1,
                    new NodeContext(SETTINGS, Features.NONE, outbox, storeCache, null),
                    new SubmissionBatches(SETTINGS, outbox, storeCache),
                    leadership,
                    markedJobs);
        }

        boolean isAnyMarkMissing() {
            return jobs.values().stream().anyMatch(job -> job.highWaterMark() == 0);
        }

        /**
         * Writes the requested marks, and checks that each value is within the size limit. The
         * store replies to each call with the next status.
         */
        void writeRequestedMarks(HighWaterMarks highWaterMarks, IntSupplier nextStatus) {
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
                                                FieldMap.jsonLength(value)
                                                        <= SETTINGS.maxValueBytes(),
                                                key));
                int replyStatus = nextStatus.getAsInt();
                outbox.onReply(
                        new StoreReply(
                                call.callId(),
                                replyStatus,
                                replyStatus == ReplyStatus.OK
                                        ? Map.of("ledger", ++revision)
                                        : null));
            }
        }
    }

    /**
     * Guards against records above the size limit on values, which the store rejects each time, so
     * that their jobs are never started. They came about when a record was assigned to a job before
     * its write had succeeded: after a failed write, other jobs were assigned the same space.
     */
    @Property(tries = 100, seed = "431")
    void recordsStayBelowTheValueLimitWhenWritesFail(
            @ForAll @IntRange(min = 1, max = 300) int jobCount,
            @ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        LedShard shard = new LedShard(jobCount, 1_000, random);
        HighWaterMarks highWaterMarks = shard.highWaterMarks(shard.jobs);
        for (int round = 0; round < 300 && shard.isAnyMarkMissing(); round++) {
            int currentRound = round;
            shard.jobs.values().stream()
                    .filter(job -> job.highWaterMark() == 0 && random.nextInt(3) == 0)
                    .forEach(job -> highWaterMarks.request(job, 1));
            shard.writeRequestedMarks(
                    highWaterMarks,
                    () -> {
                        // All writes fail at first, then two in three, and at the end none.
                        boolean fails =
                                currentRound < 20 || (currentRound < 100 && random.nextInt(3) > 0);
                        return fails ? FAILURES[random.nextInt(FAILURES.length)] : ReplyStatus.OK;
                    });
        }
        shard.jobs
                .values()
                .forEach(
                        job ->
                                assertEquals(
                                        1,
                                        Math.min(1, job.highWaterMark()),
                                        job.id() + " has no durable high-water mark"));
    }

    /**
     * The marks of any number of jobs are stored in records within the size limit on values, and a
     * successor loads each of them.
     */
    @Property(tries = 30, seed = "11")
    void highWaterMarkRecordsStayBelowTheValueLimit(
            @ForAll @IntRange(min = 1, max = 400) int jobCount,
            @ForAll @LongRange(min = 0) long seed) {
        LedShard shard = new LedShard(jobCount, 100_000, new Random(seed));
        HighWaterMarks highWaterMarks = shard.highWaterMarks(shard.jobs);
        for (int round = 0; round < 200 && shard.isAnyMarkMissing(); round++) {
            shard.jobs
                    .values()
                    .forEach(job -> highWaterMarks.request(job, job.highWaterMark() == 0 ? 1 : 0));
            shard.writeRequestedMarks(highWaterMarks, () -> ReplyStatus.OK);
        }
        Map<String, Job> successorJobs = new LinkedHashMap<>();
        shard.jobs
                .values()
                .forEach(job -> successorJobs.put(job.id(), new Job(job.id(), job.spec(), 0)));
        shard.highWaterMarks(successorJobs).load();
        shard.jobs
                .values()
                .forEach(
                        job ->
                                assertEquals(
                                        Math.max(1, job.highWaterMark()),
                                        successorJobs.get(job.id()).highWaterMark(),
                                        job.id()));
    }
}
