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
 * Entry point: parses options, settings and features, then runs the service or a measurement.
 * Commons CLI is used since picocli's classes are compiled for Java 5, which the class archive
 * cannot contain; loading them from the jar took a third of the start-up time on a small machine.
 */
public final class Main {
    private static final String MEASURE = "measure";
    private static final int USAGE = 2;
    private static final int UNUSABLE = 1;
    private static final int INCARNATION_BYTES = 6;
    private static final Set<String> LOG_LEVELS = Set.of("error", "info", "debug");

    private Main() {}

    /** Runs the program and exits with its exit code. */
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
                        .desc("The settings file (JSON) that the platform hands over.")
                        .build());
        options.addOption(
                Option.builder()
                        .longOpt("features")
                        .hasArg()
                        .argName("FILE")
                        .desc("The features file (TOML); without it all features are off.")
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
            return complain(e.getMessage(), USAGE);
        } catch (InvalidSettingsException e) {
            return complain(e.getMessage(), UNUSABLE);
        }
    }

    private static int run(CommandLine line) throws UsageException, InvalidSettingsException {
        if (line.hasOption("help")) {
            help();
            return 0;
        }
        if (line.hasOption("version")) {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("shoreusher " + (version == null ? "(not packaged)" : version));
            return 0;
        }
        requireConfigOnly(line);
        String level = logLevel();
        Settings settings = Settings.load(Path.of(line.getOptionValue("config")));
        Features features =
                line.hasOption("features")
                        ? FeaturesFile.load(Path.of(line.getOptionValue("features")), settings)
                        : Features.NONE;
        if (line.hasOption("check")) {
            System.out.println("settings are valid: " + settings.host() + " in " + settings.zone());
            return 0;
        }
        return serve(settings, features, level);
    }

    private static CommandLine parse(String[] args) throws UsageException {
        try {
            return new DefaultParser().parse(options(), args);
        } catch (ParseException e) {
            throw new UsageException(e.getMessage() + "; see --help");
        }
    }

    private static void requireConfigOnly(CommandLine line) throws UsageException {
        if (!line.getArgList().isEmpty()) {
            throw new UsageException("unexpected: " + line.getArgList().get(0) + "; see --help");
        }
        if (!line.hasOption("config")) {
            throw new UsageException("--config FILE is missing; see --help");
        }
    }

    private static String logLevel() throws UsageException {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        if (!LOG_LEVELS.contains(level)) {
            throw new UsageException("LOG_LEVEL must be error, info or debug, not '" + level + "'");
        }
        return level;
    }

    /** Thrown for a command line or environment that cannot be used. */
    private static final class UsageException extends Exception {
        private static final long serialVersionUID = 1L;

        UsageException(String message) {
            super(message);
        }
    }

    private static int measure(String[] words) {
        try {
            return Measurements.run(words);
        } catch (Exception e) {
            return complain("cannot measure: " + e.getMessage(), UNUSABLE);
        }
    }

    private static int serve(Settings settings, Features features, String level) {
        System.setProperty("org.slf4j.simpleLogger.log.shoreusher", level);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        // The machines are small: one arena with chunks of 64 KiB is enough for hundreds of
        // connections.
        System.setProperty("io.netty.allocator.numHeapArenas", "1");
        System.setProperty("io.netty.allocator.numDirectArenas", "1");
        System.setProperty("io.netty.allocator.maxOrder", "3");
        System.setProperty("io.netty.leakDetection.level", "disabled");
        byte[] incarnation = new byte[INCARNATION_BYTES];
        new SecureRandom().nextBytes(incarnation);
        String processName = settings.host() + "/" + HexFormat.of().formatHex(incarnation);
        try {
            new Service(settings, features, processName).run();
        } catch (InterruptedException e) {
            return complain("interrupted", UNUSABLE);
        } catch (Exception e) {
            // Netty rethrows the checked exception of a failed bind without declaring it.
            return complain(
                    "cannot serve on "
                            + settings.frontAddress()
                            + " and "
                            + settings.peerAddress()
                            + ": "
                            + e.getMessage(),
                    UNUSABLE);
        }
        return 0;
    }

    private static void help() {
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
                "LOG_LEVEL=error|info|debug sets how much is logged to standard error (info).\n\n"
                        + Measurements.HELP);
        out.flush();
    }

    private static int complain(String message, int code) {
        System.err.println("shoreusher: " + message);
        return code;
    }
}
