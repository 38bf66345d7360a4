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
 * @param front address for users, workers and the load balancer
 * @param back address for the other controllers
 * @param members the other controllers
 * @param cloud address of the cloud's interface
 * @param state address of the key-value store
 * @param nodes number of controllers
 * @param zones zones in which there are machines
 * @param teams the teams by name
 * @param objectives service-level objectives, as the users stated them
 * @param reportS heartbeat interval of the workers in s
 * @param workerLeaseS s after its last accepted heartbeat until a worker's lease expires
 * @param cancelS s within which a cancelled job's tasks must have ended
 * @param stateRps requests per s that the store allows all nodes together
 * @param stateWriteRps writes per s that the store allows all nodes together
 * @param valueBytes size of a stored value at most, in bytes
 * @param txnOps writes in one transaction at most
 * @param cloudRps requests per s that the cloud allows all nodes together
 * @param listLagS s by which the cloud's inventory may lag
 * @param sockets open sockets of this process at most
 * @param clockOffMs ms by which a node's wall clock may be off
 */
public record Settings(
        String host,
        String zone,
        Address front,
        Address back,
        List<Member> members,
        Address cloud,
        Address state,
        int nodes,
        List<String> zones,
        Map<String, Team> teams,
        List<Objective> objectives,
        double reportS,
        double workerLeaseS,
        double cancelS,
        double stateRps,
        double stateWriteRps,
        int valueBytes,
        int txnOps,
        double cloudRps,
        double listLagS,
        int sockets,
        long clockOffMs) {

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
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /**
     * A service-level objective.
     *
     * @param kind such as "wait", "finished", "deadline" or "guarantee"
     * @param jobClass the class of jobs that it applies to; empty for all classes
     * @param withinS time limit in s; NaN if it has none
     * @param share share of the jobs that must meet it; NaN if it has none
     * @param times factor on the deadline that a user gives
     */
    public record Objective(
            String kind, String jobClass, double withinS, double share, double times) {}

    /** Thrown for an invalid file; the message is one sentence for the operator. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        Invalid(String message) {
            super(message);
        }
    }

    /** The host names of all controllers, including this one. */
    public Stream<String> hosts() {
        return Stream.concat(Stream.of(host), members.stream().map(Member::host)).distinct();
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws Invalid with a sentence for the operator
     */
    public static Settings load(Path file) throws Invalid {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new Invalid("cannot read settings file " + file + ": " + e.getMessage());
        }
        return parse(bytes);
    }

    /**
     * Parses and validates the bytes of a settings file.
     *
     * @throws Invalid with a sentence for the operator
     */
    public static Settings parse(byte[] json) throws Invalid {
        FieldMap root;
        try {
            root = FieldMap.json(json);
        } catch (IOException e) {
            throw new Invalid(
                    "settings are not valid JSON: "
                            + e.getMessage().lines().findFirst().orElse(""));
        }
        try {
            return read(root);
        } catch (FieldMap.Missing e) {
            throw new Invalid("settings: " + e.getMessage());
        }
    }

    private static Member member(FieldMap m) throws FieldMap.Missing, Invalid {
        return new Member(
                m.text("host_name"),
                address(m.text("peer_addr"), "peer_addr"),
                m.textOr("zone", ""));
    }

    private static Settings read(FieldMap root) throws FieldMap.Missing, Invalid {
        List<Member> members = new ArrayList<>();
        for (FieldMap m : root.list("members")) {
            members.add(member(m));
        }
        FieldMap ends = root.map("endpoints");
        FieldMap d = root.map("deployment");
        Map<String, Team> teams = new LinkedHashMap<>();
        for (FieldMap t : d.list("teams")) {
            Team team =
                    new Team(
                            t.text("name"),
                            t.numberOr("cpus", 0),
                            limit(t, "cpus_max"),
                            t.numberOr("gpus", 0),
                            limit(t, "gpus_max"));
            require(
                    teams.put(team.name(), team) == null,
                    "team " + team.name() + " is there twice");
        }
        List<String> zones = d.texts("zones");
        FieldMap workers = d.map("workers");
        FieldMap state = d.map("state");
        FieldMap next = state.has("next") ? state.map("next") : new FieldMap(Map.of());
        FieldMap cloud = d.map("cloud");
        Settings s =
                new Settings(
                        root.text("host_name"),
                        root.text("zone"),
                        address(root.text("front"), "front"),
                        address(root.text("back"), "back"),
                        List.copyOf(members),
                        address(ends.text("cloud"), "endpoints.cloud"),
                        address(ends.text("state"), "endpoints.state"),
                        (int) d.number("count"),
                        zones,
                        teams,
                        objectives(d),
                        workers.number("report_s"),
                        workers.number("lease_s"),
                        workers.number("cancel_s"),
                        stricter(state, next, "rps"),
                        stricter(state, next, "write_rps"),
                        (int) (stricter(state, next, "value_kb") * 1024),
                        txnOps(state, next),
                        cloud.number("rps"),
                        cloud.number("list_lag_s"),
                        (int) d.map("limits").numberOr("sockets", 1_000),
                        (long) d.number("clock_off_ms"));
        s.check();
        return s;
    }

    /**
     * Writes in one transaction: not more than the store accepts in a burst of one second, since it
     * would reject a larger transaction with 429 each time.
     */
    private static int txnOps(FieldMap state, FieldMap next) throws FieldMap.Missing, Invalid {
        int limit = (int) stricter(state, next, "txn_ops");
        int burst = Math.max(Tuning.LEAST_TXN_OPS, (int) stricter(state, next, "write_rps"));
        return Math.min(limit, burst);
    }

    private static List<Objective> objectives(FieldMap d) throws FieldMap.Missing {
        List<Objective> objectives = new ArrayList<>();
        for (FieldMap o : d.list("objectives")) {
            objectives.add(
                    new Objective(
                            o.text("kind"),
                            o.textOr("class", ""),
                            o.numberOr("within_s", Double.NaN),
                            o.numberOr("share", Double.NaN),
                            o.numberOr("times", 1)));
        }
        return List.copyOf(objectives);
    }

    private static double stricter(FieldMap state, FieldMap next, String field)
            throws FieldMap.Missing, Invalid {
        double now = state.number(field);
        double later = next.numberOr(field, now);
        require(later > 0 || !next.has(field), "state.next." + field + " must be above 0");
        return Math.min(now, later);
    }

    /**
     * A quota, for which 0 means none (protocol). Taken as 0 CPUs, every job of the team would be
     * rejected for good.
     */
    private static double limit(FieldMap team, String field) throws FieldMap.Missing {
        double limit = team.numberOr(field, 0);
        return limit == 0 ? Double.POSITIVE_INFINITY : limit;
    }

    private void check() throws Invalid {
        require(!host.isEmpty(), "host_name is empty");
        require(nodes >= 1, "deployment.count must be at least 1");
        require(
                reportS > 0 && workerLeaseS > reportS,
                "workers.lease_s must be longer than workers.report_s");
        require(cancelS > 0, "workers.cancel_s must be above 0");
        require(stateRps > 0, "state.rps must be above 0");
        require(stateWriteRps > 0, "state.write_rps must be above 0");
        require(cloudRps > 0, "cloud.rps must be above 0");
        require(listLagS >= 0, "cloud.list_lag_s must not be negative");
        require(
                txnOps >= Tuning.LEAST_TXN_OPS,
                "state.txn_ops (also in state.next) must be at least 4: a takeover changes three"
                        + " keys");
        require(valueBytes >= 1024, "state.value_kb (also in state.next) must be at least 1");
        require(
                clockOffMs >= 0 && clockOffMs * 4 < Tuning.LEASE_MS,
                "clock_off_ms must be far below the lease of " + Tuning.LEASE_MS + " ms");
        require(
                sockets > 2 * Tuning.OWN_SOCKETS,
                "limits.sockets must be above " + 2 * Tuning.OWN_SOCKETS);
        for (Team t : teams.values()) {
            check(t.name, "cpus", t.cpus, t.cpusMax);
            check(t.name, "gpus", t.gpus, t.gpusMax);
        }
    }

    private static void check(String team, String field, double guarantee, double limit)
            throws Invalid {
        require(guarantee >= 0, field + " of team " + team + " must not be negative");
        require(limit >= 0, field + "_max of team " + team + " must not be negative");
        require(
                guarantee <= limit,
                field + " of team " + team + " must not be above its " + field + "_max");
    }

    private static void require(boolean ok, String message) throws Invalid {
        if (!ok) {
            throw new Invalid("settings: " + message);
        }
    }

    private static Address address(String text, String field) throws Invalid {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65_536) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Reported below, with the field's name.
        }
        throw new Invalid(
                "settings: " + field + " is not an address like 10.0.0.1:8080: '" + text + "'");
    }

    /** Parses the address in a message; null if it is invalid. */
    public static Address addressOrNull(String text) {
        try {
            return address(text, "addr");
        } catch (Invalid e) {
            return null;
        }
    }
}
