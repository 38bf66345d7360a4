package org.shoreusher.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.shoreusher.measure.Measurements;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.FeaturesFile;
import org.shoreusher.settings.InvalidSettingsException;
import org.shoreusher.settings.Settings;

/**
 * Entry point: parses options, settings and features, then runs the service or a measurement. It
 * uses Commons CLI, since picocli's classes are compiled for Java 5 and the class archive cannot
 * contain them; loading them from the jar took a third of the start-up time on a small machine.
 */
public final class Main {
    private static final String MEASURE = "measure";
    private static final int EXIT_USAGE_ERROR = 2;
    private static final int EXIT_FAILURE = 1;
    private static final int INCARNATION_BYTES = 6;
    private static final Set<String> LOG_LEVELS = Set.of("error", "info", "debug");

    private Main() {}

    /**
     * Runs the program and exits: with 0 after success, with 1 if a file is invalid or the program
     * fails, with 2 if the command line or an environment variable is invalid.
     */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder()
                        .longOpt("config")
                        .hasArg()
                        .argName("FILE")
                        .desc("Settings file of the platform (JSON); required.")
                        .build());
        options.addOption(
                Option.builder()
                        .longOpt("features")
                        .hasArg()
                        .argName("FILE")
                        .desc("Features file (TOML); all features are off without it.")
                        .build());
        options.addOption(
                Option.builder()
                        .longOpt("check")
                        .desc("Check the settings and features files and exit.")
                        .build());
        options.addOption(
                Option.builder("h").longOpt("help").desc("Show this help and exit.").build());
        options.addOption(
                Option.builder("V").longOpt("version").desc("Print the version and exit.").build());
        return options;
    }

    private static int run(String[] args) {
        if (args.length > 0 && args[0].equals(MEASURE)) {
            return measure(Arrays.copyOfRange(args, 1, args.length));
        }
        try {
            return run(parse(args));
        } catch (UsageException e) {
            return reportError(e.getMessage(), EXIT_USAGE_ERROR);
        } catch (InvalidSettingsException e) {
            return reportError(e.getMessage(), EXIT_FAILURE);
        }
    }

    private static int run(CommandLine commandLine)
            throws UsageException, InvalidSettingsException {
        if (commandLine.hasOption("help")) {
            printHelp();
            return 0;
        }
        if (commandLine.hasOption("version")) {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("shoreusher " + (version == null ? "(not packaged)" : version));
            return 0;
        }
        validateArguments(commandLine);
        String logLevel = logLevel();
        Settings settings = Settings.load(Path.of(commandLine.getOptionValue("config")));
        Features features =
                commandLine.hasOption("features")
                        ? FeaturesFile.load(
                                Path.of(commandLine.getOptionValue("features")), settings)
                        : Features.NONE;
        if (commandLine.hasOption("check")) {
            System.out.println("settings are valid: " + settings.host() + " in " + settings.zone());
            return 0;
        }
        return serve(settings, features, logLevel);
    }

    private static CommandLine parse(String[] args) throws UsageException {
        try {
            return new DefaultParser().parse(options(), args);
        } catch (ParseException e) {
            throw new UsageException(e.getMessage() + "; see --help");
        }
    }

    private static void validateArguments(CommandLine commandLine) throws UsageException {
        if (!commandLine.getArgList().isEmpty()) {
            throw new UsageException(
                    "unexpected argument '" + commandLine.getArgList().get(0) + "'; see --help");
        }
        if (!commandLine.hasOption("config")) {
            throw new UsageException("option --config FILE is required; see --help");
        }
    }

    private static String logLevel() throws UsageException {
        String logLevel =
                System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        if (!LOG_LEVELS.contains(logLevel)) {
            throw new UsageException(
                    "environment variable LOG_LEVEL must be error, info or debug; found '"
                            + logLevel
                            + "'");
        }
        return logLevel;
    }

    /** Thrown for an invalid command line or environment variable. */
    private static final class UsageException extends Exception {
        private static final long serialVersionUID = 1L;

        UsageException(String message) {
            super(message);
        }
    }

    private static int measure(String[] args) {
        try {
            return Measurements.run(args);
        } catch (Exception e) {
            return reportError("measurement stopped by an error: " + e, EXIT_FAILURE);
        }
    }

    private static int serve(Settings settings, Features features, String logLevel) {
        System.setProperty("org.slf4j.simpleLogger.log.shoreusher", logLevel);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        // One arena with chunks of 64 KiB (pages of 8 KiB, order 3) is enough for hundreds of
        // connections, and saves memory
        // on small machines.
        System.setProperty("io.netty.allocator.numHeapArenas", "1");
        System.setProperty("io.netty.allocator.numDirectArenas", "1");
        System.setProperty("io.netty.allocator.maxOrder", "3");
        System.setProperty("io.netty.leakDetection.level", "disabled");
        byte[] incarnation = new byte[INCARNATION_BYTES];
        new SecureRandom().nextBytes(incarnation);
        String processName = settings.host() + "/" + HexFormat.of().formatHex(incarnation);
        try {
            new Controller(settings, features, processName).run();
        } catch (InterruptedException e) {
            return reportError("controller was interrupted and has stopped", EXIT_FAILURE);
        } catch (Exception e) {
            // Netty rethrows the checked exception of a failed bind without declaring it.
            return reportError(
                    "cannot serve on "
                            + settings.frontAddress()
                            + " (front) and "
                            + settings.peerAddress()
                            + " (back): "
                            + e.getMessage()
                            + "; check that both are free addresses of this host",
                    EXIT_FAILURE);
        }
        return 0;
    }

    private static void printHelp() {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        HelpFormatter formatter = new HelpFormatter();
        formatter.printHelp(
                out,
                HelpFormatter.DEFAULT_WIDTH,
                "shoreusher --config FILE [--features FILE] [--check]",
                "Runs one controller of the shoreusher cluster scheduler.",
                options(),
                HelpFormatter.DEFAULT_LEFT_PAD,
                HelpFormatter.DEFAULT_DESC_PAD,
                "The environment variable LOG_LEVEL sets the log level: error, info (the default)"
                        + " or debug. The log is written to standard error.\n\n"
                        + Measurements.HELP);
        out.flush();
    }

    private static int reportError(String message, int exitCode) {
        System.err.println("shoreusher: " + message);
        return exitCode;
    }
}
