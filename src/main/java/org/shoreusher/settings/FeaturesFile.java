package org.shoreusher.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.balance.BalanceSettings.ClassBudget;
import org.shoreusher.settings.InvalidSettingsException.Source;
import org.shoreusher.standby.StandbySettings;
import org.shoreusher.wire.FieldMap;

/**
 * Parses the features file of the operators, which has one TOML section for each feature. A feature
 * is off if its section is absent or has {@code enabled = false}. Keys that are unknown, of the
 * wrong type or out of range are rejected.
 */
public final class FeaturesFile {
    private static final int MAX_MIGRATIONS = 1_000;
    private static final int MAX_MIGRATIONS_PER_TASK = 10;
    private static final double MAX_COOLDOWN_S = 3_600;
    private static final double MAX_GAIN_FACTOR = 100;

    /**
     * ms; a timeout shorter than a few round trips and a retry would abandon every standby
     * immediately.
     */
    private static final int MIN_ACK_TIMEOUT_MS = 500;

    /** ms; workers wait 4 s for a response, which still has to be transmitted. */
    private static final int MAX_ACK_TIMEOUT_MS = 3_000;

    private static final int MAX_HEAD_START_MS = 5_000;
    private static final int MIN_FRAME_RECORDS = 2;

    /** Records; with names of 100 bytes, such a frame is below the size limit of a message. */
    private static final int MAX_FRAME_RECORDS = 500;

    private static final int MAX_ATTEMPTS = 1_000_000;

    private FeaturesFile() {}

    /**
     * Reads and validates a file.
     *
     * @param settings its objectives name the job classes that may have a budget
     * @throws InvalidSettingsException if the file is unreadable or invalid; the message is one
     *     sentence for the operator
     */
    public static Features load(Path file, Settings settings) throws InvalidSettingsException {
        return parse(OperatorFile.read(Source.FEATURES, file), settings);
    }

    /**
     * Parses and validates the bytes of a file.
     *
     * @param settings its objectives name the job classes that may have a budget
     * @throws InvalidSettingsException if the file is invalid; the message is one sentence for the
     *     operator
     */
    public static Features parse(byte[] toml, Settings settings) throws InvalidSettingsException {
        FieldMap fields;
        try {
            fields = FieldMap.parseToml(toml);
        } catch (IOException e) {
            throw OperatorFile.malformed(Source.FEATURES, "TOML", e);
        }
        FeatureSection root = new FeatureSection("", fields.asMap());
        FeatureSection balance = root.sectionOrNull("balance");
        FeatureSection standby = root.sectionOrNull("standby");
        Features features =
                new Features(
                        balance == null ? null : balance(balance, settings),
                        standby == null ? null : standby(standby));
        root.rejectUnknownKeys();
        return features;
    }

    private static BalanceSettings balance(FeatureSection section, Settings settings)
            throws InvalidSettingsException {
        BalanceSettings defaults = BalanceSettings.DEFAULTS;
        boolean enabled = section.flagOr("enabled", true);
        BalanceSettings balance =
                new BalanceSettings(
                        section.numberOr("spread_margin", 0.05, 1, defaults.skewMargin()),
                        section.numberOr("hysteresis", 0, 0.5, defaults.hysteresis()),
                        section.numberOr("hot_share", 0.01, 1, defaults.highDemandShare()),
                        section.integerOr(
                                "moves_at_once",
                                0,
                                MAX_MIGRATIONS,
                                defaults.maxConcurrentMigrations()),
                        section.integerOr(
                                "moves_per_team",
                                0,
                                MAX_MIGRATIONS,
                                defaults.maxMigrationsPerTeam()),
                        section.integerOr(
                                "moves_per_zone",
                                0,
                                MAX_MIGRATIONS,
                                defaults.maxMigrationsPerZone()),
                        section.numberOr("cooldown_s", 0, MAX_COOLDOWN_S, defaults.cooldownS()),
                        section.numberOr(
                                "least_gain", 1, MAX_GAIN_FACTOR, defaults.minGainFactor()),
                        budget(section, defaults.defaultBudget()),
                        budgets(
                                section.sectionOrNull("classes"),
                                settings,
                                defaults.defaultBudget()));
        section.rejectUnknownKeys();
        // A section that is not enabled is validated too.
        return enabled ? balance : null;
    }

    private static StandbySettings standby(FeatureSection section) throws InvalidSettingsException {
        StandbySettings defaults = StandbySettings.DEFAULTS;
        boolean enabled = section.flagOr("enabled", true);
        StandbySettings standby =
                new StandbySettings(
                        section.integerOr(
                                "ack_timeout_ms",
                                MIN_ACK_TIMEOUT_MS,
                                MAX_ACK_TIMEOUT_MS,
                                defaults.ackTimeoutMs()),
                        section.integerOr(
                                "head_start_ms", 0, MAX_HEAD_START_MS, defaults.headStartMs()),
                        section.integerOr(
                                "frame_records",
                                MIN_FRAME_RECORDS,
                                MAX_FRAME_RECORDS,
                                defaults.maxFrameRecords()),
                        section.integerOr(
                                "most_attempts", 0, MAX_ATTEMPTS, defaults.maxAttempts()));
        section.rejectUnknownKeys();
        // A section that is not enabled is validated too.
        return enabled ? standby : null;
    }

    private static ClassBudget budget(FeatureSection section, ClassBudget defaults)
            throws InvalidSettingsException {
        return new ClassBudget(
                section.integerOr(
                        "moves_per_task",
                        0,
                        MAX_MIGRATIONS_PER_TASK,
                        defaults.maxMigrationsPerTask()),
                section.numberOr("repeated_share", 0, 1, defaults.maxRepeatedWorkShare()));
    }

    /**
     * The budgets of single job classes. A class does not inherit from the section {@code balance}:
     * the {@code defaults} apply to the keys that it leaves out.
     */
    private static Map<String, ClassBudget> budgets(
            FeatureSection classes, Settings settings, ClassBudget defaults)
            throws InvalidSettingsException {
        Map<String, ClassBudget> budgets = new LinkedHashMap<>();
        if (classes == null) {
            return budgets;
        }
        TreeSet<String> objectiveClasses =
                settings.objectives().stream()
                        .map(Settings.Objective::jobClass)
                        .filter(name -> !name.isEmpty())
                        .collect(Collectors.toCollection(TreeSet::new));
        for (String name : classes.keys()) {
            FeatureSection section = classes.sectionOrNull(name);
            if (!objectiveClasses.contains(name)) {
                throw InvalidSettingsException.ofField(
                        Source.FEATURES,
                        "balance.classes." + name,
                        "is not a job class of an objective in the settings file; allowed are "
                                + objectiveClasses);
            }
            budgets.put(name, budget(section, defaults));
            section.rejectUnknownKeys();
        }
        return budgets;
    }
}
