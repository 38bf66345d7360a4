package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.UserFormat;

/** Jobs that were accepted when the store allowed longer values than it does now. */
class LargerRecordsTest {
    private static final int VALUE_BYTES = 2_048;
    private static final String ID = "wk-000030";

    private final SingleNode node = new SingleNode(limits());

    private static Settings limits() {
        Settings usual = ModelSettings.usual();
        return ModelSettings.limits(
                usual.storeWritesPerS(), VALUE_BYTES, usual.maxTransactionWrites());
    }

    /** A job whose list of machine types alone is longer than a value may be. */
    private static JobSpec longJob() {
        return new JobSpecBuilder(ID)
                .tasks(2)
                .cpus(2)
                .image("img")
                .types(Collections.nCopies(VALUE_BYTES / 4, CloudModel.TYPE))
                .build();
    }

    private void acceptedBefore() {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("part", 0L);
        record.put("status", "OPEN");
        record.put("tasks", 2L);
        record.put("accepted", node.now);
        record.put("begun", 0L);
        record.put("spec", UserFormat.writeDescription(longJob()));
        assertTrue(FieldMap.jsonLength(record) > VALUE_BYTES);
        node.state().put("job/" + ID, record);
    }

    /**
     * A 400 would tell the user that the job does not exist, and violate the invariant "forgotten".
     */
    @Example
    void aRepeatedSubmissionIsAnsweredWithTheStateAlsoByANodeThatLags() {
        node.left();
        node.steps(40);
        node.state().stallViews("node-0", 1_000_000);
        acceptedBefore();
        assertEquals(200, node.submit(longJob()));
    }

    @Example
    void aSubmissionThatIsTooLongIsMalformedOnlyIfNobodyKnowsTheJob() {
        node.left();
        node.steps(40);
        assertEquals(400, node.submit(longJob()));
        acceptedBefore();
        node.steps(40);
        assertEquals(200, node.submit(longJob()));
    }

    /** The complete record of the cancelled job would be rejected each time. */
    @Example
    void aLongJobIsCancelled() throws FieldMap.InvalidFieldException {
        node.left();
        acceptedBefore();
        node.steps(40);
        assertEquals("pending", node.ask(ID));
        assertEquals(200, node.cancel(ID));
        assertEquals("aborted", node.ask(ID));
        Map<String, Object> record = node.state().value("job/" + ID);
        assertTrue(FieldMap.jsonLength(record) <= VALUE_BYTES);
        JobSpec left = UserFormat.readDescription(new FieldMap(record).map("spec"));
        assertEquals("team-0", left.team());
        assertEquals(2.0, left.cpus());
    }
}
