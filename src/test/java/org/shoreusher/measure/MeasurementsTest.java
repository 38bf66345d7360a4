package org.shoreusher.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.Example;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.shoreusher.measure.Measurements.InvalidOptionException;

/** The options of the measurements. The measurements are not run here, since they take minutes. */
class MeasurementsTest {
    private static CommandLine parse(String... args) throws Exception {
        return new DefaultParser().parse(FailoverMeasurement.OPTIONS, args);
    }

    @Example
    void namesOptionsOutOfBoundsWithTheAllowedRange() throws Exception {
        CommandLine commandLine = parse("--machines", "5000", "--silent", "much", "--kills", "2.5");
        InvalidOptionException machines =
                assertThrows(
                        InvalidOptionException.class,
                        () -> Measurements.integer(commandLine, "machines", 4, 4_000, 400));
        assertEquals(
                "--machines must be a number from 4 to 4000; found '5000'", machines.getMessage());
        InvalidOptionException silent =
                assertThrows(
                        InvalidOptionException.class,
                        () -> Measurements.number(commandLine, "silent", 0, 0.5, 0.1));
        assertEquals("--silent must be a number from 0 to 0.5; found 'much'", silent.getMessage());
        InvalidOptionException kills =
                assertThrows(
                        InvalidOptionException.class,
                        () -> Measurements.integer(commandLine, "kills", 1, 9, 5));
        assertEquals("--kills must be a whole number from 1 to 9; found '2.5'", kills.getMessage());
        assertEquals(7, Measurements.integer(commandLine, "seed", 0, 9, 7));
    }

    @Example
    void rejectsUnknownMeasurementsAndOptions() throws Exception {
        // Exit codes: 2 for a usage error, 1 for an option value out of bounds.
        assertEquals(2, Measurements.run(new String[] {}));
        assertEquals(2, Measurements.run(new String[] {"everything"}));
        assertEquals(2, Measurements.run(new String[] {"takeover", "--speed", "1"}));
        assertEquals(2, Measurements.run(new String[] {"fleet", "more"}));
        assertEquals(1, Measurements.run(new String[] {"takeover", "--machines", "0"}));
        assertEquals(0, Measurements.run(new String[] {"--help"}));
    }
}
