package org.shoreusher.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SettingsBuilder;

/** What an owner concludes from the times of a machine's reports. */
class MachineTest {
    private static final Settings SETTINGS =
            new SettingsBuilder(OrderTestData.settings(List.of()))
                    .teams()
                    .workers(5, 26.5, 46.5)
                    .stateRps(400)
                    .limits(50, 8192, 20)
                    .cloudRps(7)
                    .listLagS(5)
                    .sockets(2600)
                    .build();
    private final Machine machine =
            new Machine(
                    "host-1",
                    new MachineType("t", 4, 0, 8, 10, 1, 1, 0.4, 10, List.of("a")),
                    "a",
                    true,
                    0);

    private void report(long session, long seq, long atMs) {
        machine.reported(
                new WorkerReport(
                        "host-1", "", "t", "a", true, session, seq, 1, Double.NaN, List.of()),
                atMs,
                SETTINGS);
        machine.session = session;
        machine.seq = seq;
        machine.repliedAtMs = atMs;
    }

    /**
     * When a cut of longer than a lease ends, the reports that it held up come one after the other,
     * the later ones of the next session: that tells nothing of whether answers are heard. Ten good
     * machines of 250 were returned for it.
     */
    @Example
    void reportsHeldUpByACutMakeNoMachineDeaf() {
        report(1, 10, 100_000);
        report(1, 11, 150_000);
        report(1, 14, 150_001);
        report(2, 17, 150_002);
        assertFalse(machine.deaf());
        report(2, 20, 150_500);
        assertFalse(machine.deaf());
        report(2, 21, 155_000);
        assertFalse(machine.deaf());
    }

    /**
     * A session that ends although it was answered in time, at a worker that has waited out its
     * patience, is one of a deaf machine.
     */
    @Example
    void aSessionThatEndsInSpiteOfAnswersIsADeafMachines() {
        report(1, 10, 100_000);
        report(1, 13, 115_000);
        report(2, 16, 130_000);
        assertTrue(machine.deaf());
        report(2, 17, 135_000);
        assertFalse(machine.deaf(), "a report in time shows that it hears");
    }
}
