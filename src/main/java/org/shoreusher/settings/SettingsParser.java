package org.shoreusher.settings;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.settings.InvalidSettingsException.Source;
import org.shoreusher.settings.Settings.Member;
import org.shoreusher.settings.Settings.Objective;
import org.shoreusher.settings.Settings.Team;
import org.shoreusher.wire.FieldMap;

/** Maps the fields of the settings file to {@link Settings}. */
final class SettingsParser {
    private static final int DEFAULT_MAX_SOCKETS = 1_000;
    static final int BYTES_PER_KB = 1024;
    private static final double DEFAULT_DEADLINE_FACTOR = 1;

    private SettingsParser() {}

    /** Parses and validates the bytes of a settings file. */
    static Settings parse(byte[] json) throws InvalidSettingsException {
        FieldMap root;
        try {
            root = FieldMap.parseJson(json);
        } catch (IOException e) {
            throw OperatorFile.malformed(Source.SETTINGS, "JSON", e);
        }
        Settings settings = settings(SettingsSection.root(root));
        SettingsValidator.validate(settings);
        return settings;
    }

    private static Settings settings(SettingsSection root) throws InvalidSettingsException {
        SettingsSection endpoints = root.section("endpoints");
        SettingsSection deployment = root.section("deployment");
        SettingsSection workers = deployment.section("workers");
        SettingsSection store = deployment.section("state");
        SettingsSection futureStore = store.sectionOrEmpty("next");
        SettingsSection cloud = deployment.section("cloud");
        return new Settings(
                root.text("host_name"),
                root.text("zone"),
                root.address("front"),
                root.address("back"),
                members(root),
                endpoints.address("cloud"),
                endpoints.address("state"),
                (int) deployment.number("count"),
                deployment.texts("zones"),
                teams(deployment),
                objectives(deployment),
                workers.number("report_s"),
                workers.number("lease_s"),
                workers.number("cancel_s"),
                stricterLimit(store, futureStore, "rps"),
                stricterLimit(store, futureStore, "write_rps"),
                (int) (stricterLimit(store, futureStore, "value_kb") * BYTES_PER_KB),
                maxTransactionWrites(store, futureStore),
                cloud.number("rps"),
                cloud.number("list_lag_s"),
                (int) deployment.section("limits").numberOr("sockets", DEFAULT_MAX_SOCKETS),
                (long) deployment.number("clock_off_ms"));
    }

    private static List<Member> members(SettingsSection root) throws InvalidSettingsException {
        List<Member> members = new ArrayList<>();
        for (SettingsSection member : root.sections("members")) {
            members.add(
                    new Member(
                            member.text("host_name"),
                            member.address("peer_addr"),
                            member.textOr("zone", "")));
        }
        return List.copyOf(members);
    }

    private static Map<String, Team> teams(SettingsSection deployment)
            throws InvalidSettingsException {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (SettingsSection fields : deployment.sections("teams")) {
            Team team =
                    new Team(
                            fields.text("name"),
                            fields.numberOr("cpus", 0),
                            quota(fields, "cpus_max"),
                            fields.numberOr("gpus", 0),
                            quota(fields, "gpus_max"));
            if (teams.put(team.name(), team) != null) {
                throw fields.invalid(
                        "name", "must be unique; another team is also named '" + team.name() + "'");
            }
        }
        return teams;
    }

    /**
     * A quota; the protocol defines 0 as no quota. If 0 were read as no CPUs, every job of the team
     * would be rejected permanently.
     */
    private static double quota(SettingsSection team, String field)
            throws InvalidSettingsException {
        double quota = team.numberOr(field, 0);
        return quota == 0 ? Double.POSITIVE_INFINITY : quota;
    }

    private static List<Objective> objectives(SettingsSection deployment)
            throws InvalidSettingsException {
        List<Objective> objectives = new ArrayList<>();
        for (SettingsSection fields : deployment.sections("objectives")) {
            objectives.add(
                    new Objective(
                            ObjectiveKind.fromSettings(fields.text("kind")),
                            fields.textOr("class", ""),
                            fields.numberOr("within_s", Double.NaN),
                            fields.numberOr("share", Double.NaN),
                            fields.numberOr("times", DEFAULT_DEADLINE_FACTOR)));
        }
        return List.copyOf(objectives);
    }

    /** The lower of the store's current limit and its future limit, if one is announced. */
    private static double stricterLimit(
            SettingsSection store, SettingsSection futureStore, String field)
            throws InvalidSettingsException {
        double current = store.number(field);
        double announced = futureStore.numberOr(field, current);
        // SettingsValidator rejects a current limit that is not above 0.
        if (announced <= 0 && futureStore.has(field)) {
            throw futureStore.invalid(
                    field, "must be above 0" + InvalidSettingsException.found(announced));
        }
        return Math.min(current, announced);
    }

    /**
     * The largest number of writes in one transaction. It is at most what the store accepts in a
     * burst of one second, since the store would always reject a larger transaction with 429.
     */
    private static int maxTransactionWrites(SettingsSection store, SettingsSection futureStore)
            throws InvalidSettingsException {
        int limit = (int) stricterLimit(store, futureStore, "txn_ops");
        int burst =
                Math.max(
                        SharedConstants.MIN_TRANSACTION_WRITES,
                        (int) stricterLimit(store, futureStore, "write_rps"));
        return Math.min(limit, burst);
    }
}
