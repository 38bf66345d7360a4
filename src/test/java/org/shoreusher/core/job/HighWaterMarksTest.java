package org.shoreusher.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command.StoreReply;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * High-water marks of started tasks when their writes fail, get no response, or are executed late.
 */
class HighWaterMarksTest {
    private static final Settings SETTINGS = CoreTestData.settings(List.of());

    /**
     * A record was once assigned to a job when the write was made. After failed writes other jobs
     * were assigned the same space. A record above the value limit is rejected for good, so that
     * none of its jobs would ever start.
     */
    @Property(tries = 100, seed = "431")
    void recordsStayBelowTheValueLimitWhenWritesFail(
            @ForAll @IntRange(min = 1, max = 300) int count,
            @ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        Outbox outbox = new Outbox(SETTINGS, 1);
        outbox.setNow(new ClockReading(1_000, 1_000));
        StoreCache storeCache = new StoreCache(outbox, SETTINGS, (key, before, after) -> {});
        ShardLeadership leadership =
                new ShardLeadership(
                        0,
                        SETTINGS,
                        outbox,
                        storeCache,
                        new ShardRecord("n/1", 60_000, 1, Map.of(), null),
                        outbox.now(),
                        1);
        Map<String, Job> jobs = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            JobSpec spec =
                    new JobSpecBuilder("wk-" + (1_000_000 + i))
                            .jobClass("c")
                            .team("team")
                            .taskCount(1 + random.nextInt(1_000))
                            .cpus(2)
                            .image("i")
                            .estimatedRunS(1)
                            .build();
            jobs.put(spec.id(), new Job(spec.id(), spec, 0));
            storeCache.apply(StoreSchema.jobKey(spec.id()), JobRecord.open(0, spec, 0).toMap(), 1);
        }
        HighWaterMarks highWaterMarks =
                new HighWaterMarks(
                        0,
                        1,
                        new NodeContext(SETTINGS, Features.NONE, outbox, storeCache, null),
                        new SubmissionBatches(SETTINGS, outbox, storeCache),
                        leadership,
                        jobs);
        long revision = 1;
        for (int round = 0;
                round < 300 && jobs.values().stream().anyMatch(job -> job.highWaterMark() == 0);
                round++) {
            jobs.values().stream()
                    .filter(job -> job.highWaterMark() == 0 && random.nextInt(3) == 0)
                    .forEach(job -> highWaterMarks.request(job, 1));
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
                boolean fails = round < 20 || (round < 100 && random.nextInt(3) > 0);
                outbox.onReply(
                        new StoreReply(
                                call.callId(),
                                fails ? new int[] {0, 503, 429}[random.nextInt(3)] : 200,
                                fails ? null : Map.of("ledger", ++revision)));
            }
        }
        jobs.values()
                .forEach(
                        job ->
                                assertEquals(
                                        1,
                                        Math.min(1, job.highWaterMark()),
                                        job.id() + " may never begin"));
    }
}
