package org.shoreusher.cli;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.shoreusher.settings.Settings;
import org.shoreusher.standin.CloudStandIn;
import org.shoreusher.standin.ControllerClient;
import org.shoreusher.standin.JobProfile;
import org.shoreusher.standin.StandInServer;
import org.shoreusher.standin.StoreStandIn;
import org.shoreusher.standin.TaskHistory;
import org.shoreusher.standin.WorkerStandIn;

/**
 * End-to-end check of a controller on loopback, with stand-ins of store, cloud and workers: batch
 * jobs run to completion, a service is submitted, its machine fails, its replica is restarted on
 * another one, and the service is cancelled.
 */
final class ControllerSmokeCheck implements AutoCloseable {
    /** The job id of the service. */
    static final String SERVICE_ID = "wk-000900";

    private static final String REPLICA = SERVICE_ID + "/0";
    private static final long STEP_TIMEOUT_MS = 20_000;
    private static final long POLL_INTERVAL_MS = 50;
    private static final int BATCH_JOBS = 5;
    private static final int MACHINES = 50;
    // The next two are report_s and lease_s of the settings below.
    private static final long HEARTBEAT_INTERVAL_MS = 300;
    private static final long WORKER_LEASE_MS = 2_000;

    private static final String SETTINGS =
            """
            {"host_name":"smoke-check","zone":"z","front":"127.0.0.1:%d","back":"127.0.0.1:%d",
             "members":[],
             "endpoints":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
             "deployment":{"count":1,"zones":["z"],
              "teams":[{"name":"t","cpus":8.0,"cpus_max":8.0,"gpus":0.0,"gpus_max":0.0}],
              "objectives":[],
              "workers":{"report_s":0.3,"lease_s":2.0,"cancel_s":30.0},
              "state":{"rps":400.0,"write_rps":200.0,"value_kb":8.0,"txn_ops":12},
              "cloud":{"rps":20.0,"list_lag_s":0.5},"limits":{"sockets":1000},
              "clock_off_ms":25.0}}\
            """;

    private final int frontPort = freePort();
    private final int peerPort = freePort();
    private final ControllerClient controller = new ControllerClient(frontPort);
    private final NioEventLoopGroup workers = new NioEventLoopGroup(1);
    private final WorkerStandIn.Environment environment =
            new WorkerStandIn.Environment(
                    workers.next(),
                    Map.of("smoke-check", new Settings.Address("127.0.0.1", frontPort)),
                    HEARTBEAT_INTERVAL_MS,
                    WORKER_LEASE_MS,
                    job -> job.equals(SERVICE_ID) ? JobProfile.SERVICE : JobProfile.INSTANT,
                    new TaskHistory());
    private final CloudStandIn cloud =
            new CloudStandIn(
                    new CloudStandIn.MachineOffer(
                            /* cpus= */ 4, /* memoryGb= */ 8, /* fetchGbPerS= */ 1, List.of("z")),
                    MACHINES,
                    identity -> new WorkerStandIn(identity, environment));
    private final StandInServer cloudServer = new StandInServer(cloud::handle);
    private final StoreStandIn store = new StoreStandIn();
    private final StandInServer storeServer = new StandInServer(store::handle);

    ControllerSmokeCheck() throws IOException {}

    /** The settings of the controller that is checked, as JSON. */
    String settingsJson() {
        return SETTINGS.formatted(frontPort, peerPort, cloudServer.port(), storeServer.port());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /**
     * Waits until the controller is ready.
     *
     * @throws IllegalStateException if that is not observed in time
     */
    void awaitReady() throws InterruptedException {
        await("the controller is ready", () -> call("/ready", null).isOk());
    }

    /**
     * Runs all steps. The controller may still be starting.
     *
     * @throws IllegalStateException at the first step that is not observed in time
     */
    void run() throws InterruptedException {
        awaitReady();
        for (int i = 1; i <= BATCH_JOBS; i++) {
            submit(job("wk-00000" + i, "sweep", 5));
        }
        for (int i = 1; i <= BATCH_JOBS; i++) {
            String id = "wk-00000" + i;
            await(id + " is done", () -> "done".equals(statusOf(id)));
        }
        submit(job(SERVICE_ID, "service", 0));
        await("the replica runs", () -> cloud.machineOf(REPLICA) != null);
        await("the service has the status running", () -> "running".equals(statusOf(SERVICE_ID)));
        String failedMachine = cloud.machineOf(REPLICA);
        cloud.removeMachine(failedMachine);
        System.out.println("machine removed: " + failedMachine);
        // The removed machine has no tasks any more, so any machine found is another one.
        await("the replica runs on another machine", () -> cloud.machineOf(REPLICA) != null);
        cancel();
        await("the replica has ended", () -> cloud.machineOf(REPLICA) == null);
        require("the service has the status aborted", "aborted".equals(statusOf(SERVICE_ID)));
    }

    private void submit(Map<String, Object> job) throws InterruptedException {
        String id = (String) job.get("name_id");
        await(id + " is accepted", () -> call("/v2/runs", job).isAccepted());
    }

    private void cancel() throws InterruptedException {
        String path = "/v2/runs/" + SERVICE_ID + "/cancel";
        await("the cancellation is confirmed", () -> call(path, Map.of()).isOk());
    }

    private String statusOf(String id) {
        Map<String, Object> body = call("/v2/runs/" + id, null).body();
        return body == null ? null : (String) body.get("status");
    }

    private ControllerClient.Response call(String path, Map<String, Object> body) {
        try {
            return controller.call(path, body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ControllerClient.Response.NONE;
        }
    }

    private static void await(String step, BooleanSupplier condition) throws InterruptedException {
        long endNs = System.nanoTime() + STEP_TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            require(step, System.nanoTime() < endNs);
            Thread.sleep(POLL_INTERVAL_MS);
        }
        System.out.println("observed: " + step);
    }

    private static void require(String step, boolean observed) {
        if (!observed) {
            throw new IllegalStateException(
                    "not observed within " + STEP_TIMEOUT_MS + " ms: " + step);
        }
    }

    /** A submission of one task. */
    static Map<String, Object> job(String id, String shape, double runtimeS) {
        Map<String, Object> job =
                new HashMap<>(
                        Map.of(
                                "name_id", id, "queue", "c", "crew", "t", "shape", shape, "urgency",
                                "high", "sheets", 1L, "cpus", 1.0, "gpus", 0.0, "mem_gb", 1.0));
        job.putAll(
                Map.of(
                        "plate",
                        "i",
                        "size_gb",
                        1.0,
                        "one_zone",
                        false,
                        "scatter",
                        false,
                        "loaners",
                        true,
                        "runtime_s",
                        runtimeS,
                        "proof_interval_s",
                        0.0,
                        "proof_s",
                        0.0));
        return job;
    }

    @Override
    public void close() {
        cloud.stopWorkers();
        workers.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        controller.close();
        cloudServer.close();
        storeServer.close();
    }
}
