package org.shoreusher.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.SubmissionBatchRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** Submission batches, and the precedence of the jobs' own records. */
class SubmissionBatchesTest {
    private static final Settings SETTINGS =
            new SettingsBuilder(CoreTestData.settings(List.of()))
                    .teams()
                    .storeLimits(1000, 8192, 12)
                    .build();

    /**
     * A completed job must not be started again when its batch reaches the store cache after the
     * job's own record has been applied and evicted.
     */
    @Example
    void batchAppliedAfterTerminalStateAddsNoJob() {
        JobSpec spec =
                new JobSpecBuilder("wk-1")
                        .jobClass("c")
                        .team("team")
                        .taskCount(3)
                        .image("i")
                        .estimatedRunS(1)
                        .build();
        for (boolean isDone : new boolean[] {false, true}) {
            Outbox outbox = new Outbox(SETTINGS, 1);
            // An array, since the cache's listener is created before the batches.
            SubmissionBatches[] submissionBatches = new SubmissionBatches[1];
            List<String> notified = new ArrayList<>();
            StoreCache storeCache =
                    new StoreCache(
                            outbox,
                            SETTINGS,
                            (key, before, after) -> {
                                if (key.startsWith(StoreSchema.SUBMISSION_BATCH_PREFIX)) {
                                    submissionBatches[0].batchChanged(
                                            key, after, (id, record) -> notified.add(id));
                                }
                            });
            submissionBatches[0] = new SubmissionBatches(SETTINGS, outbox, storeCache);
            if (isDone) {
                storeCache.apply(
                        StoreSchema.jobKey("wk-1"), JobRecord.open(0, spec, 0).asDone().toMap(), 9);
                storeCache.evict(StoreSchema.jobKey("wk-1"));
            }
            storeCache.apply(
                    StoreSchema.submissionBatchKey("n/1", 1),
                    SubmissionBatchRecord.toMap(Map.of("wk-1", JobRecord.open(0, spec, 0).toMap())),
                    6);
            assertEquals(isDone ? List.of() : List.of("wk-1"), notified);
            if (isDone) {
                assertNull(submissionBatches[0].jobRecord("wk-1"));
            }
        }
    }

    /**
     * Two nodes have accepted the same job for different shards. The older batch counts, whichever
     * reaches the store cache first. Otherwise each leader might treat the job as the other's, and
     * none would start it. The job's own record takes precedence over both batches.
     */
    @Example
    void olderOfTwoSubmissionRecordsCounts() {
        Settings settings = CoreTestData.settings(List.of());
        JobSpec spec =
                CoreTestData.job("wk-1", "c", JobSpec.Priority.HIGH, 3, 1, Double.NaN, 0).spec();
        for (boolean isOlderFirst : new boolean[] {true, false}) {
            Outbox outbox = new Outbox(settings, 2);
            // An array, since the cache's listener is created before the batches.
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
            // The batch for shard 1 is the older one, since its version is lower.
            for (int shardNumber : isOlderFirst ? new int[] {1, 0} : new int[] {0, 1}) {
                long version = shardNumber == 1 ? 5 : 6;
                storeCache.apply(
                        StoreSchema.submissionBatchKey("n/" + shardNumber, 1),
                        SubmissionBatchRecord.toMap(
                                Map.of("wk-1", JobRecord.open(shardNumber, spec, 0).toMap())),
                        version);
            }
            assertEquals(1, submissionBatches[0].jobRecord("wk-1").shardNumber());
            assertEquals(1, notified.get(notified.size() - 1));
            storeCache.apply(StoreSchema.jobKey("wk-1"), JobRecord.open(0, spec, 0).toMap(), 7);
            assertEquals(0, submissionBatches[0].jobRecord("wk-1").shardNumber());
        }
    }
}
