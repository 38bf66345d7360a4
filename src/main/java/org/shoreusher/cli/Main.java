package org.shoreusher.cli;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.shoreusher.settings.Settings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The program: reads flags and settings, then runs the service. */
@Command(name = "shoreusher", mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
        description = "Runs one controller of the shoreusher cluster scheduler.",
        footer = {"", "LOG_LEVEL=error|info|debug sets how much is logged to standard error (info)."})
public final class Main implements Callable<Integer> {
    @Option(names = "--config", required = true, paramLabel = "FILE", description = "The settings file (JSON) that the platform hands over.")
    private Path config;

    @Option(names = "--check", description = "Check the settings file and exit.")
    private boolean check;

    /** Tells the version of the build. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String v = Main.class.getPackage().getImplementationVersion();
            return new String[] {"shoreusher " + (v == null ? "(not packaged)" : v)};
        }
    }

    public static void main(String[] args) {
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
        if (!level.equals("error") && !level.equals("info") && !level.equals("debug")) {
            System.err.println("shoreusher: LOG_LEVEL must be error, info or debug, not '" + level + "'");
            System.exit(CommandLine.ExitCode.USAGE);
        }
        System.setProperty("org.slf4j.simpleLogger.log.shoreusher", level);
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        // The machines are small: one arena with chunks of 64 KiB is plenty for some hundred connections.
        System.setProperty("io.netty.allocator.numHeapArenas", "1");
        System.setProperty("io.netty.allocator.numDirectArenas", "1");
        System.setProperty("io.netty.allocator.maxOrder", "3");
        System.setProperty("io.netty.leakDetection.level", "disabled");
        int code = new CommandLine(new Main()).execute(args);
        System.exit(code);
    }

    @Override
    public Integer call() throws InterruptedException {
        Settings settings;
        try {
            settings = Settings.load(config);
        } catch (Settings.Invalid e) {
            System.err.println("shoreusher: " + e.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        }
        if (check) {
            System.out.println("settings are valid: " + settings.host() + " in " + settings.zone());
            return CommandLine.ExitCode.OK;
        }
        byte[] suffix = new byte[6];
        new SecureRandom().nextBytes(suffix);
        new Service(settings, settings.host() + "/" + HexFormat.of().formatHex(suffix)).run();
        return CommandLine.ExitCode.OK;
    }
}
