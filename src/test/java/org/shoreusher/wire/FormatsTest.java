package org.shoreusher.wire;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.message.WorkerOrder;

/** The encodings of messages, and the formats of users and workers. */
class FormatsTest {
    @Provide
    Arbitrary<Map<String, Object>> maps() {
        Arbitrary<Object> leaf =
                Arbitraries.oneOf(
                        Arbitraries.longs().map(value -> value),
                        Arbitraries.doubles().map(value -> value),
                        Arbitraries.strings().ofMaxLength(20).map(value -> value),
                        Arbitraries.of(true, false).map(value -> value),
                        Arbitraries.just(null));
        Arbitrary<Object> inner =
                Arbitraries.oneOf(
                        leaf,
                        leaf.list().ofMaxSize(4).map(value -> value),
                        Arbitraries.maps(Arbitraries.strings().ofMaxLength(8), leaf)
                                .ofMaxSize(4)
                                .map(value -> value));
        return Arbitraries.maps(Arbitraries.strings().ofMaxLength(8), inner).ofMaxSize(6);
    }

    @Property(tries = 300, seed = "1")
    void cborPreservesEveryMap(@ForAll("maps") Map<String, Object> map) throws IOException {
        assertEquals(map, FieldMap.parseCbor(FieldMap.toCbor(map)).asMap());
    }

    /**
     * An {@link IOException} is mapped to status 400. Any other exception would close the
     * connection without a response.
     */
    @Property(tries = 500, seed = "2")
    void arbitraryBytesAreDecodedAsAMapOrRejected(@ForAll byte[] bytes) {
        Map<String, Object> decoded;
        try {
            decoded = FieldMap.parseCbor(bytes).asMap();
        } catch (IOException rejected) {
            return;
        }
        assertNotNull(decoded);
    }

    /**
     * A submission with one corrupted byte is decoded or rejected; no other exception is thrown.
     */
    @Property(tries = 500, seed = "3")
    void corruptedSubmissionIsDecodedOrRejected(
            @ForAll("jobs") JobSpec job, @ForAll int position, @ForAll byte value) {
        byte[] bytes = FieldMap.toCbor(JobSpecFormat.writeSubmission(job));
        bytes[Math.floorMod(position, bytes.length)] = value;
        try {
            assertTrue(
                    JobSpec.isValidId(
                            JobSpecFormat.readSubmission(FieldMap.parseCbor(bytes)).id()));
        } catch (IOException | FieldMap.InvalidFieldException exception) {
            assertTrue(exception.getMessage() != null);
        }
    }

    @Provide
    Arbitrary<JobSpec> jobs() {
        Arbitrary<Double> amounts = Arbitraries.doubles().between(0, 1000);
        return Combinators.combine(
                        Arbitraries.integers().between(1, 999_999),
                        Arbitraries.integers().between(1, 100_000),
                        amounts,
                        Arbitraries.of(JobSpec.Priority.values()),
                        Arbitraries.of("a", "b").list().ofMaxSize(2).injectNull(0.5),
                        Arbitraries.of("a", "b").injectNull(0.5),
                        Arbitraries.of(true, false),
                        amounts.injectNull(0.5)
                                .map(seconds -> seconds == null ? Double.NaN : seconds))
                .as(
                        (id, tasks, amount, priority, types, zone, flag, deadline) ->
                                new JobSpecBuilder("wk-" + id)
                                        .team("team")
                                        .priority(priority)
                                        .taskCount(tasks)
                                        .cpus(amount)
                                        .gpus(amount / 2)
                                        .memGb(amount / 3)
                                        .image("image")
                                        .imageGb(amount)
                                        .machineTypes(types)
                                        .zone(zone)
                                        .singleZone(flag)
                                        .spreadAcrossZones(!flag)
                                        .spotAllowed(flag)
                                        .estimatedRunS(amount)
                                        .checkpointIntervalS(amount)
                                        .checkpointDurationS(amount)
                                        .deadlineS(deadline)
                                        .build());
    }

    @Property(tries = 300, seed = "4")
    void submissionRoundTripPreservesTheJob(@ForAll("jobs") JobSpec job)
            throws IOException, FieldMap.InvalidFieldException {
        assertEquals(
                job,
                JobSpecFormat.readSubmission(
                        FieldMap.parseCbor(FieldMap.toCbor(JobSpecFormat.writeSubmission(job)))));
    }

    @Example
    void errorNamesTheInvalidField() {
        JobSpec job = jobs().sample();
        Map<String, Object> invalidValues =
                Map.of(
                        "sheets",
                        0L,
                        "cpus",
                        "many",
                        "shape",
                        "gang",
                        "urgency",
                        "whenever",
                        "name_id",
                        "wk-",
                        "loaners",
                        1L,
                        "due_s",
                        -1.0);
        invalidValues.forEach(
                (field, value) -> {
                    Map<String, Object> map =
                            new LinkedHashMap<>(JobSpecFormat.writeSubmission(job));
                    map.put(field, value);
                    FieldMap.InvalidFieldException exception =
                            assertThrows(
                                    FieldMap.InvalidFieldException.class,
                                    () -> JobSpecFormat.readSubmission(new FieldMap(map)));
                    assertTrue(exception.getMessage().contains(field), exception.getMessage());
                });
    }

    /**
     * Only nullable fields may be absent. A submission without one of the others, or with a value
     * of the wrong type or range, is rejected.
     */
    @Example
    void requiresEveryNonNullableField() {
        Map<String, Object> complete =
                JobSpecFormat.writeSubmission(
                        new JobSpecBuilder("wk-1")
                                .team("team")
                                .priority(JobSpec.Priority.LOW)
                                .taskCount(3)
                                .image("image")
                                .machineTypes(List.of("a"))
                                .zone("a")
                                .singleZone(true)
                                .checkpointIntervalS(30)
                                .checkpointDurationS(4)
                                .deadlineS(60)
                                .build());
        for (String field : complete.keySet()) {
            for (Object value :
                    new Object[] {
                        null, Double.NaN, Double.POSITIVE_INFINITY, -1.0, List.of(Map.of())
                    }) {
                Map<String, Object> map = new LinkedHashMap<>(complete);
                map.put(field, value);
                if (value == null && List.of("presses", "yard", "due_s").contains(field)) {
                    assertDoesNotThrow(
                            () -> JobSpecFormat.readSubmission(new FieldMap(map)), field);
                } else {
                    assertThrows(
                            FieldMap.InvalidFieldException.class,
                            () -> JobSpecFormat.readSubmission(new FieldMap(map)),
                            field + " " + value);
                }
            }
        }
    }

    @Example
    void decodesAHeartbeatWithUnknownFields() throws FieldMap.InvalidFieldException {
        Map<String, Object> heartbeat =
                new LinkedHashMap<>(
                        Map.of(
                                "box",
                                "host-1",
                                "addr",
                                "10.0.0.1:9",
                                "press",
                                "t",
                                "yard",
                                "a",
                                "loaners",
                                true,
                                "shift",
                                2L,
                                "tally",
                                9L,
                                "baton",
                                4L,
                                "new_field",
                                List.of(1L)));
        heartbeat.put("warning_s", null);
        heartbeat.put(
                "sheets",
                List.of(
                        Map.of(
                                "sheet",
                                "wk-000412/3",
                                "try",
                                7L,
                                "status",
                                "exited",
                                "cause",
                                "halted",
                                "stored",
                                true),
                        Map.of("sheet", "wk-000412/4", "try", 8L, "status", "flushing")));
        WorkerHeartbeat parsed = WorkerFormat.readHeartbeat(new FieldMap(heartbeat));
        assertTrue(Double.isNaN(parsed.interruptionNoticeS()));
        assertEquals(
                List.of(
                        new WorkerHeartbeat.TaskStatus(
                                "wk-000412",
                                3,
                                7,
                                WorkerHeartbeat.TaskState.EXITED,
                                WorkerHeartbeat.ExitCause.STOPPED,
                                true),
                        new WorkerHeartbeat.TaskStatus(
                                "wk-000412",
                                4,
                                8,
                                WorkerHeartbeat.TaskState.CHECKPOINTING,
                                WorkerHeartbeat.ExitCause.NONE)),
                parsed.tasks());
    }

    /**
     * The store rejects a key with a space or of more than 200 bytes, and with it the records of
     * all machines in the same write.
     */
    @Example
    void rejectsMachineIdsThatCannotBePartOfAKey() {
        for (String id :
                List.of("", "host 1", "host-1 ", "host\n1", "host-\u00e9", "h".repeat(101))) {
            Map<String, Object> heartbeat =
                    Map.of("box", id, "press", "t", "yard", "a", "shift", 1L, "tally", 1L);
            assertThrows(
                    FieldMap.InvalidFieldException.class,
                    () -> WorkerFormat.readHeartbeat(new FieldMap(heartbeat)),
                    id);
        }
        assertDoesNotThrow(
                () ->
                        WorkerFormat.readHeartbeat(
                                new FieldMap(
                                        Map.of(
                                                "box",
                                                "host-000231",
                                                "press",
                                                "t",
                                                "yard",
                                                "a",
                                                "shift",
                                                1L,
                                                "tally",
                                                1L))));
    }

    @Example
    void encodesOrdersInTheWorkerFormat() {
        List<WorkerOrder> orders =
                new ArrayList<>(
                        List.of(
                                new WorkerOrder(WorkerOrder.Kind.START, "wk-1", 4, 2, 0),
                                new WorkerOrder(WorkerOrder.Kind.STOP, "wk-2", 1, 1, 10),
                                new WorkerOrder(WorkerOrder.Kind.FORGET, "wk-3", 0, 1, 0)));
        assertEquals(
                Map.of(
                        "baton",
                        41L,
                        "shift",
                        1L,
                        "orders",
                        List.of(
                                Map.of("verb", "run", "sheet", "wk-1/4", "try", 2L),
                                Map.of(
                                        "verb",
                                        "halt",
                                        "sheet",
                                        "wk-2/1",
                                        "try",
                                        1L,
                                        "wind_down_s",
                                        10.0),
                                Map.of("verb", "forget", "sheet", "wk-3/0", "try", 1L))),
                WorkerFormat.directOrders(41, 1, orders));
    }
}
