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
import org.shoreusher.settings.Settings;
import org.shoreusher.standin.CloudStandIn;
import org.shoreusher.standin.ControllerClient;
import org.shoreusher.standin.JobProfile;
import org.shoreusher.standin.StandInServer;
import org.shoreusher.standin.StateStandIn;
import org.shoreusher.standin.TaskHistory;
import org.shoreusher.standin.WorkerStandIn;

/**
 * A deployment on loopback: controller processes, and stand-ins of the store, the cloud and the
 * workers.
 */
final class Cluster implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long POLL_MS = 50;

    /**
     * Size and settings of a deployment.
     *
     * @param controllers number of controllers
     * @param machines machines that the cloud can provide
     * @param offer properties of a machine
     * @param teams CPU quota by team
     * @param reportS heartbeat interval of the workers in s
     * @param leaseS lease of the workers in s
     * @param features features file of the controllers; null for none
     */
    record Shape(
            int controllers,
            int machines,
            CloudStandIn.Offer offer,
            Map<String, Double> teams,
            double reportS,
            double leaseS,
            Path features) {}

    private final Shape shape;
    private final Map<String, JobProfile> profiles = new ConcurrentHashMap<>();
    private final TaskHistory history = new TaskHistory();
    private final NioEventLoopGroup workers = new NioEventLoopGroup(1);
    private final Map<String, Settings.Address> fronts = new LinkedHashMap<>();
    private final Map<String, Settings.Address> backs = new LinkedHashMap<>();
    private final List<ControllerProcess> controllers = new ArrayList<>();
    private final List<ControllerClient> clients = new ArrayList<>();
    private final CloudStandIn machines;
    private final StandInServer cloud;
    private final StandInServer state;
    private final Path directory;

    Cluster(Shape shape) throws IOException {
        this.shape = shape;
        for (int i = 0; i < shape.controllers(); i++) {
            fronts.put("node-" + i, freeAddress());
            backs.put("node-" + i, freeAddress());
        }
        WorkerStandIn.Environment environment =
                new WorkerStandIn.Environment(
                        workers.next(),
                        fronts,
                        Math.round(shape.reportS() * 1_000),
                        Math.round(shape.leaseS() * 1_000),
                        profiles::get,
                        history);
        machines =
                new CloudStandIn(
                        shape.offer(),
                        shape.machines(),
                        identity -> new WorkerStandIn(identity, environment));
        cloud = new StandInServer(machines::handle);
        state = new StandInServer(new StateStandIn()::handle);
        directory = Files.createTempDirectory("shoreusher-measure");
    }

    private static Settings.Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 0, InetAddress.getByName(LOOPBACK))) {
            return new Settings.Address(LOOPBACK, socket.getLocalPort());
        }
    }

    /** Starts all controllers, and waits until each is ready. */
    void start() throws IOException, InterruptedException {
        for (String host : fronts.keySet()) {
            Path settings = directory.resolve(host + ".json");
            Files.writeString(settings, ClusterSettings.json(shape, host, this));
            List<String> command = new ArrayList<>(RunCommand.read(shape.features()));
            command.add(settings.toString());
            ControllerProcess controller = new ControllerProcess(host, command);
            controller.start();
            controllers.add(controller);
            clients.add(new ControllerClient(fronts.get(host).port()));
        }
        for (int i = 0; i < clients.size(); i++) {
            ControllerClient client = clients.get(i);
            await("controller " + i + " is ready", 30, () -> status(client, "/ready", null) == 200);
        }
    }

    private static int status(ControllerClient client, String path, Map<String, Object> body) {
        try {
            return client.call(path, body).status();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /** Submits a job to one controller after the other until it is accepted. */
    void submit(JobRequest job) throws InterruptedException {
        profiles.put(job.id(), job.profile());
        int[] next = {0};
        await(
                job.id() + " is accepted",
                60,
                () -> {
                    ControllerClient client = clients.get(next[0]++ % clients.size());
                    int status = status(client, "/v2/runs", job.body());
                    return status == 200 || status == 201;
                });
    }

    /** Whether any controller reports the job as done. */
    boolean done(String job) {
        return clients.stream().anyMatch(client -> done(client, job));
    }

    private static boolean done(ControllerClient client, String job) {
        try {
            ControllerClient.Reply reply = client.call("/v2/runs/" + job, null);
            return reply.status() == 200 && "done".equals(reply.body().get("status"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Polls a condition.
     *
     * @throws IllegalStateException if it does not become true in time
     */
    static void await(String what, double withinS, BooleanSupplier condition)
            throws InterruptedException {
        long endMs = ControllerProcess.nowMs() + Math.round(withinS * 1_000);
        while (!condition.getAsBoolean()) {
            if (ControllerProcess.nowMs() > endMs) {
                throw new IllegalStateException("not within " + withinS + " s: " + what);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /**
     * Checks that all controllers are running.
     *
     * @throws IllegalStateException with the last log line of a controller that has exited
     */
    void requireAlive() {
        for (ControllerProcess controller : controllers) {
            if (!controller.alive()) {
                ControllerProcess.Line line = controller.last(Long.MIN_VALUE, text -> true);
                throw new IllegalStateException(
                        controller.host()
                                + " has ended by itself: "
                                + (line == null ? "no line" : line.text()));
            }
        }
    }

    /** The controller that last became leader of shard 0; null if none has yet. */
    ControllerProcess owner() {
        ControllerProcess owner = null;
        long latestMs = Long.MIN_VALUE;
        for (ControllerProcess controller : controllers) {
            ControllerProcess.Line line =
                    controller.last(Long.MIN_VALUE, text -> text.contains("takeover: part 0"));
            if (line != null && line.atMs() > latestMs) {
                latestMs = line.atMs();
                owner = controller;
            }
        }
        return owner;
    }

    List<ControllerProcess> controllers() {
        return controllers;
    }

    CloudStandIn machines() {
        return machines;
    }

    TaskHistory history() {
        return history;
    }

    Map<String, Settings.Address> fronts() {
        return fronts;
    }

    Map<String, Settings.Address> backs() {
        return backs;
    }

    int cloudPort() {
        return cloud.port();
    }

    int statePort() {
        return state.port();
    }

    @Override
    public void close() throws IOException {
        for (ControllerProcess controller : controllers) {
            if (controller.alive()) {
                controller.end();
            }
        }
        machines.stop();
        clients.forEach(ControllerClient::close);
        workers.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        cloud.close();
        state.close();
        for (String host : fronts.keySet()) {
            Files.deleteIfExists(directory.resolve(host + ".json"));
        }
        Files.delete(directory);
    }
}
