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
import org.shoreusher.wire.UserFormat;

/** Jobs that were accepted when the store allowed longer values than it does now. */
class OversizedRecordsTest {
    private static final int VALUE_BYTES = 2_048;
    private static final String ID = "wk-000030";

    private final SingleNodeSimulation node = new SingleNodeSimulation(limits());

    private static Settings limits() {
        Settings usual = SimulationSettings.standard();
        return SimulationSettings.withStoreLimits(
                usual.storeWritesPerS(), VALUE_BYTES, usual.maxTransactionWrites());
    }

    /** A job whose list of machine types alone is longer than a value may be. */
    private static JobSpec oversizedJob() {
        return new JobSpecBuilder(ID)
                .taskCount(2)
                .cpus(2)
                .image("img")
                .machineTypes(Collections.nCopies(VALUE_BYTES / 4, SimulatedCloud.SMALL_TYPE))
                .build();
    }

    private void storeOversizedJob() {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("part", 0L);
        record.put("status", "OPEN");
        record.put("tasks", 2L);
        record.put("accepted", node.nowMs);
        record.put("begun", 0L);
        record.put("spec", UserFormat.writeDescription(oversizedJob()));
        assertTrue(FieldMap.jsonLength(record) > VALUE_BYTES);
        node.store().putDirectly("job/" + ID, record);
    }

    /**
     * A 400 would mean to the user that the job does not exist, and violate the invariant
     * "forgotten".
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

    /** The complete record of the cancelled job would be rejected each time. */
    @Example
    void cancelsAnOversizedJob() throws FieldMap.InvalidFieldException {
        node.storeShardOfPreviousLeader();
        storeOversizedJob();
        node.runSteps(40);
        assertEquals("pending", node.pollStatus(ID));
        assertEquals(200, node.cancel(ID));
        assertEquals("aborted", node.pollStatus(ID));
        Map<String, Object> record = node.store().value("job/" + ID);
        assertTrue(FieldMap.jsonLength(record) <= VALUE_BYTES);
        JobSpec left = UserFormat.readDescription(new FieldMap(record).map("spec"));
        assertEquals("team-0", left.team());
        assertEquals(2.0, left.cpus());
    }
}
