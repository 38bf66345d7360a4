package org.shoreusher.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.JobSpecFormat;

/**
 * Jobs whose records are longer than the store now allows, since they were accepted under a higher
 * limit. Guards against rejecting or blocking them because of their length.
 */
class OversizedRecordsTest {
    private static final int MAX_VALUE_BYTES = 2_048;
    private static final String JOB_ID = "wk-000030";

    private final SingleNodeSimulation node = new SingleNodeSimulation(settings());

    private static Settings settings() {
        Settings standard = SimulationSettings.standard();
        return SimulationSettings.withStoreLimits(
                standard.storeWritesPerS(), MAX_VALUE_BYTES, standard.maxTransactionWrites());
    }

    /** A job whose list of machine types alone is longer than a value may be. */
    private static JobSpec oversizedJob() {
        return new JobSpecBuilder(JOB_ID)
                .taskCount(2)
                .cpus(2)
                .image("img")
                .machineTypes(Collections.nCopies(MAX_VALUE_BYTES / 4, SimulatedCloud.SMALL_TYPE))
                .build();
    }

    private void storeOversizedJob() {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("part", 0L);
        record.put("status", "OPEN");
        record.put("tasks", 2L);
        record.put("accepted", node.nowMs);
        record.put("begun", 0L);
        record.put("spec", JobSpecFormat.writeStoredSpec(oversizedJob()));
        assertTrue(FieldMap.jsonLength(record) > MAX_VALUE_BYTES);
        node.store().putDirectly("job/" + JOB_ID, record);
    }

    /**
     * The store cache of a node lags and does not contain the accepted job. A response with status
     * 400 would mean to the user that the job does not exist, and violate the invariant {@code
     * forgotten}.
     */
    @Example
    void nodeWithAStaleCacheReturnsTheJobStateForARepeatedSubmission() {
        node.storeShardOfPreviousLeader();
        node.runSteps(40);
        node.store().stallCacheUpdates("node-0", 1_000_000);
        storeOversizedJob();
        assertEquals(200, node.submit(oversizedJob()));
    }

    @Example
    void rejectsAnOversizedSubmissionOnlyIfTheJobIsUnknown() {
        node.storeShardOfPreviousLeader();
        node.runSteps(40);
        assertEquals(400, node.submit(oversizedJob()));
        storeOversizedJob();
        node.runSteps(40);
        assertEquals(200, node.submit(oversizedJob()));
    }

    /**
     * The store would reject the complete record of the cancelled job, so a shorter one is written.
     */
    @Example
    void cancelsAnOversizedJob() throws FieldMap.InvalidFieldException {
        node.storeShardOfPreviousLeader();
        storeOversizedJob();
        node.runSteps(40);
        assertEquals("pending", node.pollStatus(JOB_ID));
        assertEquals(200, node.cancel(JOB_ID));
        assertEquals("aborted", node.pollStatus(JOB_ID));
        Map<String, Object> record = node.store().value("job/" + JOB_ID);
        assertTrue(FieldMap.jsonLength(record) <= MAX_VALUE_BYTES);
        JobSpec storedSpec = JobSpecFormat.readStoredSpec(new FieldMap(record).map("spec"));
        assertEquals("team-0", storedSpec.team());
        assertEquals(2.0, storedSpec.cpus());
    }
}
