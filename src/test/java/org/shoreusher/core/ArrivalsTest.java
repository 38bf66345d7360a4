package org.shoreusher.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** Records of jobs that were accepted in one batch, beside the jobs' own records. */
class ArrivalsTest {
    private static final Settings SETTINGS =
            new SettingsBuilder(OrderTestData.settings(List.of()))
                    .teams()
                    .limits(1000, 8192, 12)
                    .build();

    /**
     * The change of a batch record may reach the cache after that of the job's terminal state,
     * which has already left it: the job must not be started again.
     */
    @Example
    void newsOfAnArrivalAfterThatOfItsEndBeginsNothing() {
        JobSpec spec =
                new JobSpecBuilder("wk-1")
                        .jobClass("c")
                        .team("team")
                        .tasks(3)
                        .image("i")
                        .estimateS(1)
                        .build();
        for (boolean ended : new boolean[] {false, true}) {
            Outbox outbox = new Outbox(SETTINGS, 1);
            Arrivals[] arrivals = new Arrivals[1];
            List<String> told = new ArrayList<>();
            StoreView view =
                    new StoreView(
                            outbox,
                            SETTINGS,
                            (key, before, after) -> {
                                if (key.startsWith(StoreSchema.SUBMISSION_BATCH_PREFIX)) {
                                    arrivals[0].batchChanged(
                                            key, after, (id, record) -> told.add(id));
                                }
                            });
            arrivals[0] = new Arrivals(SETTINGS, outbox, view);
            if (ended) {
                view.apply(
                        StoreSchema.jobKey("wk-1"),
                        StoreSchema.JobRecord.open(0, spec, 0).asDone().toMap(),
                        9);
                view.evict(StoreSchema.jobKey("wk-1"));
            }
            view.apply(
                    StoreSchema.submissionBatchKey("n/1", 1),
                    StoreSchema.ArrivalRecord.toMap(
                            Map.of("wk-1", StoreSchema.JobRecord.open(0, spec, 0).toMap())),
                    6);
            assertEquals(ended ? List.of() : List.of("wk-1"), told);
            if (ended) {
                assertNull(arrivals[0].jobRecord("wk-1"));
            }
        }
    }
}
