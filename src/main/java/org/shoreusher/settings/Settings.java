package org.shoreusher.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.shoreusher.wire.FieldMap;

/**
 * The validated settings file, which the platform provides. Unknown fields are ignored. If the file
 * announces later limits of the store ({@code state.next}), the stricter of both applies from the
 * start: it is not known when the later ones take effect, and records written above them could then
 * not be written again.
 *
 * @param host name of this node
 * @param zone zone of this node
 * @param frontAddress address for users, workers and the load balancer
 * @param peerAddress address for the other controllers
 * @param members the other controllers
 * @param cloudAddress address of the cloud's interface
 * @param storeAddress address of the key-value store
 * @param nodeCount number of controllers
 * @param zones zones in which there are machines
 * @param teams the teams by name
 * @param objectives service-level objectives, as the users stated them
 * @param heartbeatIntervalS heartbeat interval of the workers in s
 * @param workerLeaseS s after its last accepted heartbeat until a worker's lease expires
 * @param cancellationLimitS s within which a cancelled job's tasks must have ended
 * @param storeRequestsPerS requests per s that the store allows all nodes together
 * @param storeWritesPerS writes per s that the store allows all nodes together
 * @param maxValueBytes size of a stored value at most, in bytes
 * @param maxTransactionWrites writes in one transaction at most
 * @param cloudRequestsPerS requests per s that the cloud allows all nodes together
 * @param inventoryLagS s by which the cloud's inventory may lag
 * @param maxSockets open sockets of this process at most
 * @param maxClockOffsetMs ms by which a node's wall clock may be off
 */
public record Settings(
        String host,
        String zone,
        Address frontAddress,
        Address peerAddress,
        List<Member> members,
        Address cloudAddress,
        Address storeAddress,
        int nodeCount,
        List<String> zones,
        Map<String, Team> teams,
        List<Objective> objectives,
        double heartbeatIntervalS,
        double workerLeaseS,
        double cancellationLimitS,
        double storeRequestsPerS,
        double storeWritesPerS,
        int maxValueBytes,
        int maxTransactionWrites,
        double cloudRequestsPerS,
        double inventoryLagS,
        int maxSockets,
        long maxClockOffsetMs) {

    /** An IP address and port. */
    public record Address(String ip, int port) {
        @Override
        public String toString() {
            return ip + ":" + port;
        }
    }

    /** Another controller; {@code zone} is empty if the file does not name it. */
    public record Member(String host, Address address, String zone) {}

    /**
     * A team's guaranteed share and quota of CPUs and GPUs. A quota that the file omits or gives as
     * 0 means no quota, which is infinity here.
     */
    public record Team(
            String name,
            double guaranteedCpus,
            double maxCpus,
            double guaranteedGpus,
            double maxGpus) {}

    /**
     * A service-level objective.
     *
     * @param kind such as "wait", "finished", "deadline" or "guarantee"
     * @param jobClass the class of jobs that it applies to; empty for all classes
     * @param withinS time limit in s; NaN if it has none
     * @param share share of the jobs that must meet it; NaN if it has none
     * @param deadlineFactor factor on the deadline that a user gives
     */
    public record Objective(
            String kind, String jobClass, double withinS, double share, double deadlineFactor) {}

    /** Thrown for an invalid file; the message is one sentence for the operator. */
    public static final class InvalidSettingsException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidSettingsException(String message) {
            super(message);
        }
    }

    /** The host names of all controllers, including this one. */
    public Stream<String> allHosts() {
        return Stream.concat(Stream.of(host), members.stream().map(Member::host)).distinct();
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws Invalid with a sentence for the operator
     */
    public static Settings load(Path file) throws InvalidSettingsException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    "cannot read settings file " + file + ": " + e.getMessage());
        }
        return parse(bytes);
    }

    /**
     * Parses and validates the bytes of a settings file.
     *
     * @throws Invalid with a sentence for the operator
     */
    public static Settings parse(byte[] json) throws InvalidSettingsException {
        FieldMap root;
        try {
            root = FieldMap.parseJson(json);
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    "settings are not valid JSON: "
                            + e.getMessage().lines().findFirst().orElse(""));
        }
        try {
            return read(root);
        } catch (FieldMap.InvalidFieldException e) {
            throw new InvalidSettingsException("settings: " + e.getMessage());
        }
    }

    private static Member member(FieldMap fields)
            throws FieldMap.InvalidFieldException, InvalidSettingsException {
        return new Member(
                fields.text("host_name"),
                address(fields.text("peer_addr"), "peer_addr"),
                fields.textOr("zone", ""));
    }

    private static Settings read(FieldMap root)
            throws FieldMap.InvalidFieldException, InvalidSettingsException {
        List<Member> members = new ArrayList<>();
        for (FieldMap memberFields : root.maps("members")) {
            members.add(member(memberFields));
        }
        FieldMap endpoints = root.map("endpoints");
        FieldMap deployment = root.map("deployment");
        Map<String, Team> teams = new LinkedHashMap<>();
        for (FieldMap teamFields : deployment.maps("teams")) {
            Team team =
                    new Team(
                            teamFields.text("name"),
                            teamFields.numberOr("cpus", 0),
                            limit(teamFields, "cpus_max"),
                            teamFields.numberOr("gpus", 0),
                            limit(teamFields, "gpus_max"));
            require(
                    teams.put(team.name(), team) == null,
                    "team " + team.name() + " is there twice");
        }
        List<String> zones = deployment.texts("zones");
        FieldMap workers = deployment.map("workers");
        FieldMap state = deployment.map("state");
        FieldMap next = state.has("next") ? state.map("next") : new FieldMap(Map.of());
        FieldMap cloud = deployment.map("cloud");
        Settings settings =
                new Settings(
                        root.text("host_name"),
                        root.text("zone"),
                        address(root.text("front"), "front"),
                        address(root.text("back"), "back"),
                        List.copyOf(members),
                        address(endpoints.text("cloud"), "endpoints.cloud"),
                        address(endpoints.text("state"), "endpoints.state"),
                        (int) deployment.number("count"),
                        zones,
                        teams,
                        objectives(deployment),
                        workers.number("report_s"),
                        workers.number("lease_s"),
                        workers.number("cancel_s"),
                        stricter(state, next, "rps"),
                        stricter(state, next, "write_rps"),
                        (int) (stricter(state, next, "value_kb") * 1024),
                        maxTransactionWrites(state, next),
                        cloud.number("rps"),
                        cloud.number("list_lag_s"),
                        (int) deployment.map("limits").numberOr("sockets", 1_000),
                        (long) deployment.number("clock_off_ms"));
        settings.check();
        return settings;
    }

    /**
     * Writes in one transaction: not more than the store accepts in a burst of one second, since it
     * would reject a larger transaction with 429 each time.
     */
    private static int maxTransactionWrites(FieldMap state, FieldMap next)
            throws FieldMap.InvalidFieldException, InvalidSettingsException {
        int limit = (int) stricter(state, next, "txn_ops");
        int burst =
                Math.max(
                        SharedConstants.MIN_TRANSACTION_WRITES,
                        (int) stricter(state, next, "write_rps"));
        return Math.min(limit, burst);
    }

    private static List<Objective> objectives(FieldMap deployment)
            throws FieldMap.InvalidFieldException {
        List<Objective> objectives = new ArrayList<>();
        for (FieldMap objectiveFields : deployment.maps("objectives")) {
            objectives.add(
                    new Objective(
                            objectiveFields.text("kind"),
                            objectiveFields.textOr("class", ""),
                            objectiveFields.numberOr("within_s", Double.NaN),
                            objectiveFields.numberOr("share", Double.NaN),
                            objectiveFields.numberOr("times", 1)));
        }
        return List.copyOf(objectives);
    }

    private static double stricter(FieldMap state, FieldMap next, String field)
            throws FieldMap.InvalidFieldException, InvalidSettingsException {
        double now = state.number(field);
        double later = next.numberOr(field, now);
        require(later > 0 || !next.has(field), "state.next." + field + " must be above 0");
        return Math.min(now, later);
    }

    /**
     * A quota, for which 0 means none (protocol). Taken as 0 CPUs, every job of the team would be
     * rejected for good.
     */
    private static double limit(FieldMap team, String field) throws FieldMap.InvalidFieldException {
        double limit = team.numberOr(field, 0);
        return limit == 0 ? Double.POSITIVE_INFINITY : limit;
    }

    private void check() throws InvalidSettingsException {
        require(!host.isEmpty(), "host_name is empty");
        require(nodeCount >= 1, "deployment.count must be at least 1");
        require(
                heartbeatIntervalS > 0 && workerLeaseS > heartbeatIntervalS,
                "workers.lease_s must be longer than workers.report_s");
        require(cancellationLimitS > 0, "workers.cancel_s must be above 0");
        require(storeRequestsPerS > 0, "state.rps must be above 0");
        require(storeWritesPerS > 0, "state.write_rps must be above 0");
        require(cloudRequestsPerS > 0, "cloud.rps must be above 0");
        require(inventoryLagS >= 0, "cloud.list_lag_s must not be negative");
        require(
                maxTransactionWrites >= SharedConstants.MIN_TRANSACTION_WRITES,
                "state.txn_ops (also in state.next) must be at least 4: a takeover changes three"
                        + " keys");
        require(maxValueBytes >= 1024, "state.value_kb (also in state.next) must be at least 1");
        require(
                maxClockOffsetMs >= 0 && maxClockOffsetMs * 4 < SharedConstants.LEADER_LEASE_MS,
                "clock_off_ms must be far below the lease of "
                        + SharedConstants.LEADER_LEASE_MS
                        + " ms");
        require(
                maxSockets > 2 * SharedConstants.RESERVED_SOCKETS,
                "limits.sockets must be above " + 2 * SharedConstants.RESERVED_SOCKETS);
        for (Team team : teams.values()) {
            check(team.name, "cpus", team.guaranteedCpus, team.maxCpus);
            check(team.name, "gpus", team.guaranteedGpus, team.maxGpus);
        }
    }

    private static void check(String team, String field, double guarantee, double limit)
            throws InvalidSettingsException {
        require(guarantee >= 0, field + " of team " + team + " must not be negative");
        require(limit >= 0, field + "_max of team " + team + " must not be negative");
        require(
                guarantee <= limit,
                field + " of team " + team + " must not be above its " + field + "_max");
    }

    private static void require(boolean condition, String message) throws InvalidSettingsException {
        if (!condition) {
            throw new InvalidSettingsException("settings: " + message);
        }
    }

    private static Address address(String text, String field) throws InvalidSettingsException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65_536) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Reported below, with the field's name.
        }
        throw new InvalidSettingsException(
                "settings: " + field + " is not an address like 10.0.0.1:8080: '" + text + "'");
    }

    /** Parses the address in a message; null if it is invalid. */
    public static Address parseAddressOrNull(String text) {
        try {
            return address(text, "addr");
        } catch (InvalidSettingsException e) {
            return null;
        }
    }
}
