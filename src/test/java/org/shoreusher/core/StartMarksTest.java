package org.shoreusher.core;

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
import org.shoreusher.core.Command.StateReply;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * High-water marks of started tasks when their writes fail, get no response, or are executed late.
 */
class StartMarksTest {
    private static final Settings SETTINGS = OrderTestData.settings(List.of());

    /**
     * A record was once assigned to a job when the write was made. After failed writes other jobs
     * were assigned the same space. A record above the value limit is rejected for good, so that
     * none of its jobs would ever start.
     */
    @Property(tries = 100, seed = "431")
    void recordsStayBelowTheValueLimitAlthoughWritesFail(
            @ForAll @IntRange(min = 1, max = 300) int count,
            @ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        Outbox outbox = new Outbox(SETTINGS, 1);
        outbox.now = new ClockReading(1_000, 1_000);
        StoreView view = new StoreView(outbox, SETTINGS, (key, before, after) -> {});
        PartOwnership ownership =
                new PartOwnership(
                        0,
                        SETTINGS,
                        outbox,
                        view,
                        new StoreSchema.PartRecord("n/1", 60_000, 1, Map.of(), null),
                        outbox.now,
                        1);
        Map<String, Job> jobs = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            JobSpec spec =
                    new JobSpecBuilder("wk-" + (1_000_000 + i))
                            .jobClass("c")
                            .team("team")
                            .tasks(1 + random.nextInt(1_000))
                            .cpus(2)
                            .image("i")
                            .estimateS(1)
                            .build();
            jobs.put(spec.id(), new Job(spec.id(), spec, 0));
            view.apply(
                    StoreSchema.jobKey(spec.id()),
                    StoreSchema.JobRecord.open(0, spec, 0).toMap(),
                    1);
        }
        StartMarks marks =
                new StartMarks(
                        0,
                        1,
                        new NodeContext(
                                SETTINGS,
                                Features.NONE,
                                outbox,
                                view,
                                new Arrivals(SETTINGS, outbox, view),
                                null,
                                null,
                                null),
                        ownership,
                        jobs);
        long revision = 1;
        for (int round = 0;
                round < 300 && jobs.values().stream().anyMatch(j -> j.highWaterMark == 0);
                round++) {
            jobs.values().stream()
                    .filter(j -> j.highWaterMark == 0 && random.nextInt(3) == 0)
                    .forEach(j -> marks.request(j, 1));
            outbox.now = new ClockReading(outbox.now.monotonicMs() + 300, outbox.now.wallMs() + 10);
            marks.writeRequestedMarks();
            for (Effect e : outbox.drainEffects()) {
                Effect.StateCall call = (Effect.StateCall) e;
                ((StateOp.Multi) call.operation())
                        .writes()
                        .forEach(
                                (key, value) ->
                                        assertTrue(
                                                FieldMap.jsonLength(value)
                                                        <= SETTINGS.maxValueBytes(),
                                                key));
                boolean fails = round < 20 || (round < 100 && random.nextInt(3) > 0);
                outbox.onReply(
                        new StateReply(
                                call.callId(),
                                fails ? new int[] {0, 503, 429}[random.nextInt(3)] : 200,
                                fails ? null : Map.of("ledger", ++revision)));
            }
        }
        jobs.values()
                .forEach(
                        j ->
                                assertEquals(
                                        1,
                                        Math.min(1, j.highWaterMark),
                                        j.id + " may never begin"));
    }
}
