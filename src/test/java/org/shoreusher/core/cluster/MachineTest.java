package org.shoreusher.core.cluster;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import org.shoreusher.core.CoreTestData;
import org.shoreusher.core.message.MachineType;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** Tests the detection of one-way partitions and of slow machines. */
class MachineTest {
    private static final Settings SETTINGS =
            new SettingsBuilder(CoreTestData.settings(List.of()))
                    .teams()
                    .workers(5, 26.5, 46.5)
                    .storeRequestsPerS(400)
                    .storeLimits(50, 8192, 20)
                    .cloudRequestsPerS(7)
                    .inventoryLagS(5)
                    .maxSockets(2600)
                    .build();
    private final Machine machine =
            new Machine(
                    "host-1",
                    new MachineType("t", 4, 0, 8, 10, 1, 1, 0.4, 10, List.of("a")),
                    "a",
                    true,
                    0);

    private void heartbeat(long incarnation, long sequenceNumber, long atMs) {
        machine.worker()
                .inferResponseDelivery(
                        new WorkerHeartbeat(
                                "host-1",
                                "",
                                "t",
                                "a",
                                true,
                                incarnation,
                                sequenceNumber,
                                1,
                                Double.NaN,
                                List.of()),
                        atMs,
                        SETTINGS);
        machine.worker().recordHeartbeatOrder(incarnation, sequenceNumber);
        machine.worker().recordResponse(atMs);
    }

    /**
     * After a partition longer than a lease, the delayed heartbeats arrive in quick succession, the
     * later ones with the next incarnation. This must not count as a one-way partition: it does not
     * indicate whether responses arrive, and once led to the termination of 10 healthy machines of
     * 250.
     */
    @Example
    void heartbeatsDelayedByAPartitionIndicateNoOneWayPartition() {
        heartbeat(1, 10, 100_000);
        heartbeat(1, 11, 150_000);
        heartbeat(1, 14, 150_001);
        heartbeat(2, 17, 150_002);
        assertFalse(machine.worker().hasOneWayPartition());
        heartbeat(2, 20, 150_500);
        assertFalse(machine.worker().hasOneWayPartition());
        heartbeat(2, 21, 155_000);
        assertFalse(machine.worker().hasOneWayPartition());
    }

    /**
     * An incarnation that ends although responses were sent in time indicates a one-way partition:
     * the worker did not receive the responses.
     */
    @Example
    void incarnationEndingDespiteResponsesIndicatesAOneWayPartition() {
        heartbeat(1, 10, 100_000);
        heartbeat(1, 13, 115_000);
        heartbeat(2, 16, 130_000);
        assertTrue(machine.worker().hasOneWayPartition());
        heartbeat(2, 17, 135_000);
        assertFalse(
                machine.worker().hasOneWayPartition(),
                "a punctual heartbeat shows that the worker received the response");
    }

    /**
     * A single slow task may be chance. Several consecutive tasks that are much slower than the
     * normal differences between machines of a type indicate a slow machine.
     */
    @Example
    void distinguishesASlowMachineFromASlowTask() {
        MachineType type = new MachineType("t", 8, 0, 16, 10, 1, 1, 0.4, 10, List.of("a"));
        Machine slow = new Machine("m-1", type, "a", true, 0);
        Machine normal = new Machine("m-2", type, "a", true, 0);
        for (int i = 0; i < 6; i++) {
            slow.recordRunTime(4);
            normal.recordRunTime(i == 2 ? 4 : 1.1);
        }
        assertTrue(slow.isSlow());
        assertTrue(!normal.isSlow());
    }
}
