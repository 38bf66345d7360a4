package org.shoreusher.measure;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.standin.CloudStandIn;
import org.shoreusher.standin.ControllerClient;
import org.shoreusher.standin.JobProfile;
import org.shoreusher.standin.StandInServer;
import org.shoreusher.standin.StoreStandIn;
import org.shoreusher.standin.TaskHistory;
import org.shoreusher.standin.WorkerStandIn;

/**
 * A deployment on loopback: controller processes, and stand-ins of the store, the cloud and the
 * workers.
 */
final class Cluster implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long POLL_INTERVAL_MS = 50;
    private static final double START_TIMEOUT_S = 30;
    private static final double SUBMIT_TIMEOUT_S = 60;

    /**
     * Size of a deployment, and the settings of its controllers and workers.
     *
     * @param controllerCount number of controllers
     * @param machineCount largest number of machines that the cloud provisions
     * @param offer properties of a machine
     * @param teamCpuQuotas quota of CPUs by team
     * @param heartbeatIntervalS heartbeat interval of the workers in s
     * @param workerLeaseS duration of the workers' leases in s
     * @param featuresFile features file of the controllers; null for none
     */
    record Topology(
            int controllerCount,
            int machineCount,
            CloudStandIn.MachineOffer offer,
            Map<String, Double> teamCpuQuotas,
            double heartbeatIntervalS,
            double workerLeaseS,
            Path featuresFile) {}

    private final Topology topology;
    private final Map<String, JobProfile> profiles = new ConcurrentHashMap<>();
    private final TaskHistory history = new TaskHistory();
    private final NioEventLoopGroup workers = new NioEventLoopGroup(1);
    private final Map<String, Settings.Address> frontAddresses = new LinkedHashMap<>();
    private final Map<String, Settings.Address> peerAddresses = new LinkedHashMap<>();
    private final List<ControllerProcess> controllers = new ArrayList<>();
    private final List<ControllerClient> clients = new ArrayList<>();
    private final CloudStandIn cloud;
    private final StandInServer cloudServer;
    private final StandInServer storeServer;
    private final Path directory;

    Cluster(Topology topology) throws IOException {
        this.topology = topology;
        for (int i = 0; i < topology.controllerCount(); i++) {
            frontAddresses.put("node-" + i, freeAddress());
            peerAddresses.put("node-" + i, freeAddress());
        }
        WorkerStandIn.Environment environment =
                new WorkerStandIn.Environment(
                        workers.next(),
                        frontAddresses,
                        Math.round(topology.heartbeatIntervalS() * 1_000),
                        Math.round(topology.workerLeaseS() * 1_000),
                        profiles::get,
                        history);
        cloud =
                new CloudStandIn(
                        topology.offer(),
                        topology.machineCount(),
                        identity -> new WorkerStandIn(identity, environment));
        cloudServer = new StandInServer(cloud::handle);
        storeServer = new StandInServer(new StoreStandIn()::handle);
        directory = Files.createTempDirectory("shoreusher-measure");
    }

    private static Settings.Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
            return new Settings.Address(LOOPBACK, socket.getLocalPort());
        }
    }

    /** Starts all controllers and waits until each is ready. */
    void start() throws IOException, InterruptedException {
        for (String host : frontAddresses.keySet()) {
            Path settings = directory.resolve(host + ".json");
            Files.writeString(settings, ClusterSettings.json(topology, host, this));
            List<String> command = new ArrayList<>(RunCommand.readWords(topology.featuresFile()));
            command.add(settings.toString());
            ControllerProcess controller = new ControllerProcess(host, command);
            controller.start();
            controllers.add(controller);
            clients.add(new ControllerClient(frontAddresses.get(host).port()));
        }
        for (int i = 0; i < clients.size(); i++) {
            ControllerClient client = clients.get(i);
            await(
                    "controller " + i + " is ready",
                    START_TIMEOUT_S,
                    () -> call(client, "/ready", null).isOk());
        }
    }

    private static ControllerClient.Response call(
            ControllerClient client, String path, Map<String, Object> body) {
        try {
            return client.call(path, body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ControllerClient.Response.NONE;
        }
    }

    /** Submits a job to the controllers in turn until one accepts it. */
    void submit(JobRequest job) throws InterruptedException {
        profiles.put(job.id(), job.profile());
        int[] nextClient = {0};
        await(
                job.id() + " is accepted",
                SUBMIT_TIMEOUT_S,
                () -> {
                    ControllerClient client = clients.get(nextClient[0]++ % clients.size());
                    return call(client, "/v2/runs", job.toBody()).isAccepted();
                });
    }

    /** Whether any controller reports the job as done. */
    boolean isDone(String job) {
        return clients.stream().anyMatch(client -> isDone(client, job));
    }

    private static boolean isDone(ControllerClient client, String job) {
        ControllerClient.Response response = call(client, "/v2/runs/" + job, null);
        return response.isOk() && "done".equals(response.body().get("status"));
    }

    /**
     * Polls a condition until it is true.
     *
     * @param description describes the condition in the exception
     * @throws IllegalStateException if the condition is not true within {@code timeoutS}
     */
    static void await(String description, double timeoutS, BooleanSupplier condition)
            throws InterruptedException {
        long endMs = ControllerProcess.nowMs() + Math.round(timeoutS * 1_000);
        while (!condition.getAsBoolean()) {
            if (ControllerProcess.nowMs() > endMs) {
                throw new IllegalStateException(
                        "condition not met within " + timeoutS + " s: " + description);
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /**
     * Checks that all controllers are running.
     *
     * @throws IllegalStateException with the last log line of a controller that has exited
     */
    void requireAlive() {
        for (ControllerProcess controller : controllers) {
            if (!controller.isAlive()) {
                throw new IllegalStateException(
                        controller.host()
                                + " has exited unexpectedly; last log line: "
                                + controller.lastLineText());
            }
        }
    }

    /**
     * Checks that no task has run on two machines at once.
     *
     * @throws IllegalStateException with all violations
     */
    void requireNoViolations() {
        if (!history.violations().isEmpty()) {
            throw new IllegalStateException(String.join("; ", history.violations()));
        }
    }

    /** The controller that became leader last; null if none has become leader yet. */
    ControllerProcess leader() {
        ControllerProcess leader = null;
        long latestMs = Long.MIN_VALUE;
        for (ControllerProcess controller : controllers) {
            long acquiredMs =
                    controller
                            .lastEvent(Long.MIN_VALUE, LogEventType.SHARD_ACQUIRED)
                            .map(ControllerProcess.Line::atMs)
                            .orElse(Long.MIN_VALUE);
            if (acquiredMs > latestMs) {
                latestMs = acquiredMs;
                leader = controller;
            }
        }
        return leader;
    }

    List<ControllerProcess> controllers() {
        return controllers;
    }

    CloudStandIn cloud() {
        return cloud;
    }

    TaskHistory history() {
        return history;
    }

    Map<String, Settings.Address> frontAddresses() {
        return frontAddresses;
    }

    Map<String, Settings.Address> peerAddresses() {
        return peerAddresses;
    }

    int cloudPort() {
        return cloudServer.port();
    }

    int storePort() {
        return storeServer.port();
    }

    @Override
    public void close() throws IOException {
        for (ControllerProcess controller : controllers) {
            if (controller.isAlive()) {
                controller.kill();
            }
        }
        cloud.stopWorkers();
        clients.forEach(ControllerClient::close);
        workers.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        cloudServer.close();
        storeServer.close();
        for (String host : frontAddresses.keySet()) {
            Files.deleteIfExists(directory.resolve(host + ".json"));
        }
        Files.delete(directory);
    }
}
