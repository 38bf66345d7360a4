package org.shoreusher.core.user;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import net.jqwik.api.Example;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.Response.DisplayState;
import org.shoreusher.core.message.Response.JobState;
import org.shoreusher.core.message.Response.TaskCounts;
import org.shoreusher.core.store.JobRecord;

/** The job states and task counts in responses to users. */
class JobStateResponsesTest {
    private static final String JOB_ID = "wk-000001";
    private static final int MAX_VALUE_BYTES = 10_000;
    private static final JobRecord OPEN =
            JobRecord.open(
                    0,
                    new JobSpecBuilder(JOB_ID)
                            .jobClass("c")
                            .team("team")
                            .taskCount(9)
                            .image("i")
                            .estimatedRunS(1)
                            .build(),
                    0);

    private static JobStateResponses responses(int completed, int running) {
        return new JobStateResponses(
                (jobId, record) -> Optional.of(new TaskCounts(completed, running)));
    }

    /** Unknown counts are not zero: an open job must not be called pending because of them. */
    @Example
    void openJobWithUnknownCountsHasNoState() {
        JobStateResponses responses = new JobStateResponses((jobId, record) -> Optional.empty());
        assertEquals(Optional.empty(), responses.withCounts(JOB_ID, OPEN));
        assertEquals(Optional.empty(), responses.stateOnly(JOB_ID, OPEN));
        assertEquals(
                Optional.of(new JobState(JOB_ID, DisplayState.DONE, new TaskCounts(9, 0), false)),
                responses.withCounts(JOB_ID, OPEN.asDone()));
        assertEquals(
                Optional.of(new JobState(JOB_ID, DisplayState.CANCELLED)),
                responses.stateOnly(JOB_ID, OPEN.asCancelled(MAX_VALUE_BYTES)));
    }

    @Example
    void openJobIsRunningIfAnyTaskRuns() {
        assertEquals(
                Optional.of(
                        new JobState(JOB_ID, DisplayState.PENDING, new TaskCounts(3, 0), false)),
                responses(3, 0).withCounts(JOB_ID, OPEN));
        assertEquals(
                Optional.of(
                        new JobState(JOB_ID, DisplayState.RUNNING, new TaskCounts(3, 2), false)),
                responses(3, 2).withCounts(JOB_ID, OPEN));
        assertEquals(
                Optional.of(new JobState(JOB_ID, DisplayState.RUNNING)),
                responses(3, 2).stateOnly(JOB_ID, OPEN));
    }

    @Example
    void terminalJobHasNoRunningTasks() {
        assertEquals(
                Optional.of(new JobState(JOB_ID, DisplayState.DONE, new TaskCounts(9, 0), false)),
                responses(3, 2).withCounts(JOB_ID, OPEN.asDone()));
        assertEquals(
                Optional.of(
                        new JobState(JOB_ID, DisplayState.CANCELLED, new TaskCounts(3, 0), false)),
                responses(3, 2).withCounts(JOB_ID, OPEN.asCancelled(MAX_VALUE_BYTES)));
        assertEquals(
                Optional.of(new JobState(JOB_ID, DisplayState.DONE)),
                responses(3, 2).stateOnly(JOB_ID, OPEN.asDone()));
        assertEquals(
                Optional.of(new JobState(JOB_ID, DisplayState.CANCELLED)),
                responses(3, 2).stateOnly(JOB_ID, OPEN.asCancelled(MAX_VALUE_BYTES)));
    }

    @Example
    void newJobIsPendingAndCreated() {
        assertEquals(
                new JobState(JOB_ID, DisplayState.PENDING, null, true),
                JobStateResponses.created(JOB_ID));
    }
}
