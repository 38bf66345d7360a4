package org.shoreusher.measure;

import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The subcommand {@code measure}. Each measurement runs complete controllers on loopback with the
 * command line of {@code deploy/service.toml}. It must be started in the root of the repository,
 * and takes minutes.
 */
public final class Measurements {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE_ERROR = 2;

    /** The help text of the subcommand. */
    public static final String HELP =
            """
            usage: shoreusher measure NAME [options], in the root of the repository, after a build
              takeover  --machines N --kills K --silent SHARE --jobs N --seed S
                        time without task starts after a leader is killed,
                        with and without standby
              fleet     --machines N --tasks N
                        memory, CPU use and failover with thousands of workers
              balance   --machines N --seed S --seconds N --on
                        skew, waits and repeated work while one team's load doubles;
                        --on turns the balancer on
            Exit codes: 0 success, 1 invalid value or failed measurement, 2 usage error.\
            """;

    private Measurements() {}

    /**
     * Runs the measurement that the first argument names.
     *
     * @return the exit code: 0 after success, 1 if an option has an invalid value or the
     *     measurement failed, 2 if the measurement or an option is unknown
     */
    public static int run(String[] args) throws Exception {
        if (args.length == 0 || args[0].equals("--help") || args[0].equals("-h")) {
            System.out.println(HELP);
            return args.length == 0 ? EXIT_USAGE_ERROR : 0;
        }
        String[] options = Arrays.copyOfRange(args, 1, args.length);
        try {
            switch (args[0]) {
                case "takeover" ->
                        FailoverMeasurement.run(parse(FailoverMeasurement.OPTIONS, options));
                case "fleet" -> FleetMeasurement.run(parse(FleetMeasurement.OPTIONS, options));
                case "balance" ->
                        BalanceMeasurement.run(parse(BalanceMeasurement.OPTIONS, options));
                default -> {
                    System.err.println(
                            "shoreusher: unknown measurement '"
                                    + args[0]
                                    + "'; allowed are takeover, fleet and balance");
                    return EXIT_USAGE_ERROR;
                }
            }
        } catch (ParseException e) {
            System.err.println("shoreusher: " + e.getMessage() + "; see shoreusher measure --help");
            return EXIT_USAGE_ERROR;
        } catch (InvalidOptionException e) {
            System.err.println("shoreusher: " + e.getMessage());
            return EXIT_FAILURE;
        } catch (IllegalStateException e) {
            System.err.println("measurement failed: " + e.getMessage());
            return EXIT_FAILURE;
        }
        return 0;
    }

    private static CommandLine parse(Options options, String[] args) throws ParseException {
        CommandLine line = new DefaultParser().parse(options, args);
        if (!line.getArgList().isEmpty()) {
            throw new ParseException("unexpected argument '" + line.getArgList().get(0) + "'");
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
            throw new InvalidOptionException(
                    "--"
                            + option
                            + " must be a whole number from "
                            + minimum
                            + " to "
                            + maximum
                            + "; found '"
                            + line.getOptionValue(option)
                            + "'");
        }
        return (int) value;
    }

    /** The value of an option that must be a number within inclusive bounds. */
    static double number(
            CommandLine line, String option, double minimum, double maximum, double defaultValue)
            throws InvalidOptionException {
        String argument = line.getOptionValue(option);
        if (argument == null) {
            return defaultValue;
        }
        try {
            double value = Double.parseDouble(argument);
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException e) {
            // The exception below reports it, as it does a number out of bounds.
        }
        throw new InvalidOptionException(
                "--"
                        + option
                        + " must be a number from "
                        + formatBound(minimum)
                        + " to "
                        + formatBound(maximum)
                        + "; found '"
                        + argument
                        + "'");
    }

    private static String formatBound(double bound) {
        return bound == Math.rint(bound) ? String.valueOf((long) bound) : String.valueOf(bound);
    }
}
