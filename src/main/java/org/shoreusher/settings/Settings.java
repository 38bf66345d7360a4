package org.shoreusher.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The validated settings file, which the platform provides. Unknown fields are ignored. If the file
 * announces future limits of the store ({@code state.next}), the stricter of the current and the
 * future limit applies from the start: the file does not state when the future limits take effect,
 * and from then on, records above a future limit could no longer be rewritten.
 *
 * @param host name of this node
 * @param zone zone of this node
 * @param frontAddress address for users, workers and the load balancer
 * @param peerAddress address for the other controllers
 * @param members the other controllers
 * @param cloudAddress address of the cloud's API
 * @param storeAddress address of the key-value store
 * @param nodeCount number of controllers
 * @param zones zones in which there are machines
 * @param teams the teams by name
 * @param objectives service-level objectives in the order of the file
 * @param heartbeatIntervalS heartbeat interval of the workers in s
 * @param workerLeaseS s after its last accepted heartbeat until a worker's lease expires
 * @param cancellationLimitS s within which a cancelled job's tasks must have ended
 * @param storeRequestsPerS requests per s that the store accepts from all nodes together
 * @param storeWritesPerS writes per s that the store accepts from all nodes together
 * @param maxValueBytes largest size of a stored value in bytes
 * @param maxTransactionWrites largest number of writes in one transaction
 * @param cloudRequestsPerS requests per s that the cloud accepts from all nodes together
 * @param inventoryLagS largest lag of the cloud's inventory in s
 * @param maxSockets largest number of open sockets of this process
 * @param maxClockOffsetMs largest offset of a node's wall clock in ms
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
        private static final int MAX_PORT = 65_535;

        /** Parses an address such as 10.0.0.1:8080; empty if it is invalid. */
        public static Optional<Address> parse(String text) {
            int colon = text.lastIndexOf(':');
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                return colon > 0 && port > 0 && port <= MAX_PORT
                        ? Optional.of(new Address(text.substring(0, colon), port))
                        : Optional.empty();
            } catch (NumberFormatException e) {
                return Optional.empty();
            }
        }

        @Override
        public String toString() {
            return ip + ":" + port;
        }
    }

    /** Another controller; {@code zone} is empty if the file does not name it. */
    public record Member(String host, Address address, String zone) {}

    /**
     * A team's guaranteed share and quota of CPUs and GPUs. The quota of a team without one, for
     * which the file omits the field or states 0, is infinity.
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
     * @param kind what it limits
     * @param jobClass the class of jobs that it applies to; empty for all classes
     * @param withinS time limit in s; NaN if it has none
     * @param share share of the jobs that must meet it; NaN if it has none
     * @param deadlineFactor factor on the deadline that a user gives
     */
    public record Objective(
            ObjectiveKind kind,
            String jobClass,
            double withinS,
            double share,
            double deadlineFactor) {}

    /** The host names of all controllers, including this one. */
    public Stream<String> allHosts() {
        return Stream.concat(Stream.of(host), members.stream().map(Member::host)).distinct();
    }

    /**
     * Reads and validates a settings file.
     *
     * @throws InvalidSettingsException if the file is unreadable or invalid; the message is one
     *     sentence for the operator
     */
    public static Settings load(Path file) throws InvalidSettingsException {
        return parse(OperatorFile.read(InvalidSettingsException.Source.SETTINGS, file));
    }

    /**
     * Parses and validates the bytes of a settings file.
     *
     * @throws InvalidSettingsException if the file is invalid; the message is one sentence for the
     *     operator
     */
    public static Settings parse(byte[] json) throws InvalidSettingsException {
        return SettingsParser.parse(json);
    }
}
