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

/** What a leader concludes from the times of a machine's heartbeats. */
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
                .inferReplyDelivery(
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
        machine.worker().recordReply(atMs);
    }

    /**
     * After a partition that is longer than a lease, the delayed heartbeats arrive one after the
     * other, the later ones with the next incarnation. That says nothing about whether responses
     * arrive. Ten healthy machines of 250 were once terminated for it.
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
     * An incarnation that ends although its heartbeats were answered in time shows a one-way
     * partition: the worker did not receive the responses.
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
                "a heartbeat in time shows that responses arrive");
    }

    /**
     * One slow task is chance. Several slow tasks in a row, far beyond the differences between
     * machines of a type, show a slow machine.
     */
    @Example
    void distinguishesASlowMachineFromASlowTask() {
        MachineType type = new MachineType("t", 8, 0, 16, 10, 1, 1, 0.4, 10, List.of("a"));
        Machine slow = new Machine("m-1", type, "a", true, 0);
        Machine good = new Machine("m-2", type, "a", true, 0);
        for (int i = 0; i < 6; i++) {
            slow.recordRunTime(4);
            good.recordRunTime(i == 2 ? 4 : 1.1);
        }
        assertTrue(slow.isSlow());
        assertTrue(!good.isSlow());
    }
}
