package org.shoreusher.measure;

import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The subcommand {@code measure}. Each measurement runs complete controllers on loopback, with the
 * command line of the deploy file and from the repository's root, and takes minutes.
 */
public final class Measurements {
    private static final int FAILED = 1;
    private static final int USAGE = 2;

    /** The help text of the subcommand. */
    public static final String HELP =
            """
            usage: shoreusher measure NAME [options], from the repository's root, after a build
              takeover  --machines N --kills K --silent SHARE --jobs N --seed S
                        time without starts when leaders are killed, with and without standby
              fleet     --machines N --tasks N
                        memory, CPU use and failovers with thousands of workers
              balance   --machines N --seed S --seconds N --on
                        the balancer while one team's load doubles
            Exits with 1 when something that must not happen did.\
            """;

    private Measurements() {}

    /** Runs the measurement that the first word names, and returns the exit code. */
    public static int run(String[] words) throws Exception {
        if (words.length == 0 || words[0].equals("--help") || words[0].equals("-h")) {
            System.out.println(HELP);
            return words.length == 0 ? USAGE : 0;
        }
        String[] rest = Arrays.copyOfRange(words, 1, words.length);
        try {
            switch (words[0]) {
                case "takeover" ->
                        FailoverMeasurement.run(parse(FailoverMeasurement.OPTIONS, rest));
                case "fleet" -> FleetMeasurement.run(parse(FleetMeasurement.OPTIONS, rest));
                case "balance" -> BalanceMeasurement.run(parse(BalanceMeasurement.OPTIONS, rest));
                default -> {
                    System.err.println(
                            "shoreusher: no measurement "
                                    + words[0]
                                    + "; allowed are takeover, fleet, balance");
                    return USAGE;
                }
            }
        } catch (ParseException e) {
            System.err.println("shoreusher: " + e.getMessage() + "; see measure --help");
            return USAGE;
        } catch (InvalidOptionException e) {
            System.err.println("shoreusher: " + e.getMessage());
            return FAILED;
        } catch (IllegalStateException e) {
            System.err.println("measurement failed: " + e.getMessage());
            return FAILED;
        }
        return 0;
    }

    private static CommandLine parse(Options options, String[] words) throws ParseException {
        CommandLine line = new DefaultParser().parse(options, words);
        if (!line.getArgList().isEmpty()) {
            throw new ParseException("unexpected: " + line.getArgList().get(0));
        }
        return line;
    }

    /** Thrown for an option value that is not allowed; the message names the option. */
    static final class InvalidOptionException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidOptionException(String message) {
            super(message);
        }
    }

    /** The value of an option that must be an integer within inclusive bounds. */
    static int integer(CommandLine line, String option, int minimum, int maximum, int defaultValue)
            throws InvalidOptionException {
        double value = number(line, option, minimum, maximum, defaultValue);
        if (value != Math.rint(value)) {
            throw new InvalidOptionException("--" + option + " must be a whole number");
        }
        return (int) value;
    }

    /** The value of an option that must be a number within inclusive bounds. */
    static double number(
            CommandLine line, String option, double minimum, double maximum, double defaultValue)
            throws InvalidOptionException {
        String text = line.getOptionValue(option);
        if (text == null) {
            return defaultValue;
        }
        try {
            double value = Double.parseDouble(text);
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of bounds.
        }
        throw new InvalidOptionException(
                "--" + option + " must be a number from " + text(minimum) + " to " + text(maximum));
    }

    private static String text(double bound) {
        return bound == Math.rint(bound) ? String.valueOf((long) bound) : String.valueOf(bound);
    }
}
