package org.shoreusher.simulation;

import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.wire.WorkerFormat;

/** A simulated worker, which follows the protocol of incarnations, leases and fencing tokens. */
final class SimulatedWorker {
    /** The HTTP status of a response that names the leader. */
    private static final int MISDIRECTED_REQUEST = 421;

    private static final long RESPONSE_TIMEOUT_MS = 4_000;
    private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
    private static final long HEARTBEAT_CHECK_INTERVAL_MS = 50;
    private static final long RETRY_DELAY_MS = 1_000;

    /** On average, one in this number of heartbeats is delivered again later. */
    private static final int HEARTBEATS_PER_DUPLICATE = 12;

    final String id;
    final String type;
    final String zone;
    final boolean spot;
    final long provisionedAtMs;
    private final ClusterSimulation simulation;
    private final int number;
    private final SimulatedTasks tasks;
    private boolean isUp;

    /** Whether every task fails on this machine. */
    boolean faulty;

    private boolean terminated;
    private long hangingUntilMs;
    private long inboundBlockedUntilMs;
    private long outboundBlockedUntilMs;

    /** When the cloud reclaims the machine, in ms; 0 without an interruption notice. */
    private long reclaimedAtMs;

    private long incarnation = 1;
    private long sequenceNumber;
    private long fencingToken;
    private long leaseRenewedAtMs;

    /** The number of the node that gets the next heartbeat. */
    private int targetNode;

    private long requestNumber;
    private boolean requestInFlight;
    private long nextHeartbeatAtMs;
    private long lastHeartbeatAtMs = -1_000;

    SimulatedWorker(
            ClusterSimulation simulation,
            String id,
            String type,
            String zone,
            boolean spot,
            int number) {
        this.simulation = simulation;
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.number = number;
        this.provisionedAtMs = simulation.nowMs;
        tasks = new SimulatedTasks(simulation, this);
    }

    String address() {
        return "10.1." + number / 250 + "." + (1 + number % 250) + ":9000";
    }

    boolean isUp() {
        return isUp;
    }

    void boot() {
        if (!terminated) {
            isUp = true;
            leaseRenewedAtMs = simulation.nowMs;
            targetNode = simulation.random.nextInt(simulation.controllers.size());
            heartbeatLoop();
        }
    }

    void terminate() {
        terminated = true;
        tasks.removeAtTermination();
    }

    /** The machine neither executes nor sends anything for a while. */
    void hang(long durationMs) {
        hangingUntilMs = simulation.nowMs + durationMs;
    }

    /** A one-way partition: no message reaches the machine for a while. */
    void blockInbound(long durationMs) {
        inboundBlockedUntilMs = simulation.nowMs + durationMs;
    }

    /** A one-way partition: the machine's heartbeats reach no controller for a while. */
    void blockOutbound(long durationMs) {
        outboundBlockedUntilMs = simulation.nowMs + durationMs;
    }

    /** Gives an interruption notice, after which the cloud terminates the machine. */
    void announceInterruption(long noticeMs) {
        reclaimedAtMs = simulation.nowMs + noticeMs;
        requestPromptHeartbeat();
        simulation.scheduleAfter(noticeMs, () -> simulation.cloud.terminate(this));
    }

    /** Whether the machine is up and no fault affects it. */
    boolean isHealthy() {
        return isUp
                && !terminated
                && simulation.nowMs >= hangingUntilMs
                && simulation.nowMs >= inboundBlockedUntilMs
                && simulation.nowMs >= outboundBlockedUntilMs;
    }

    boolean isTerminated() {
        return terminated;
    }

    boolean isHanging() {
        return simulation.nowMs < hangingUntilMs;
    }

    long hangingUntilMs() {
        return hangingUntilMs;
    }

    boolean hasTasks() {
        return !tasks.isEmpty();
    }

    private void heartbeatLoop() {
        if (terminated) {
            return;
        }
        // Also while the machine hangs: its tasks count as stopped once its lease has expired.
        expireLeaseIfDue();
        if (simulation.nowMs >= hangingUntilMs) {
            if (!requestInFlight
                    && simulation.nowMs >= nextHeartbeatAtMs
                    && simulation.nowMs - lastHeartbeatAtMs >= MIN_HEARTBEAT_INTERVAL_MS) {
                sendHeartbeat();
            }
        }
        simulation.scheduleAfter(HEARTBEAT_CHECK_INTERVAL_MS, this::heartbeatLoop);
    }

    void expireLeaseIfDue() {
        double leaseFactor =
                simulation.injectedDefect == ClusterSimulation.InjectedDefect.WORKERS_OUTLIVE_LEASES
                        ? 3
                        : 1;
        if (simulation.nowMs - leaseRenewedAtMs
                > simulation.settings.workerLeaseS() * 1000 * leaseFactor) {
            tasks.removeAtLeaseExpiry();
            incarnation++;
            leaseRenewedAtMs = simulation.nowMs;
            requestPromptHeartbeat();
        }
    }

    /** Sends the next heartbeat as soon as the minimum interval between heartbeats allows. */
    void requestPromptHeartbeat() {
        nextHeartbeatAtMs = 0;
    }

    private WorkerHeartbeat createHeartbeat() {
        double interruptionNoticeS =
                reclaimedAtMs == 0 ? Double.NaN : (reclaimedAtMs - simulation.nowMs) / 1000.0;
        return new WorkerHeartbeat(
                id,
                address(),
                type,
                zone,
                spot,
                incarnation,
                ++sequenceNumber,
                fencingToken,
                interruptionNoticeS,
                tasks.statuses());
    }

    /** Receives a response; it is handled once the machine no longer hangs. */
    private void receiveResponse(
            WireResponse response, long sentAtMs, long sentIncarnation, long sentRequestNumber) {
        if (simulation.nowMs < inboundBlockedUntilMs) {
            return;
        }
        if (simulation.injectedDefect == ClusterSimulation.InjectedDefect.LATE_RESPONSES_EXECUTED
                && !terminated
                && response.status() == ReplyStatus.OK) {
            // Each response, late or not, without the checks and lease renewal of handleResponse().
            tasks.executeOrders(response.body());
        } else if (requestNumber == sentRequestNumber && requestInFlight && !terminated) {
            long delayMs = Math.max(0, hangingUntilMs - simulation.nowMs);
            simulation.scheduleAfter(
                    delayMs,
                    () -> handleResponse(response, sentAtMs, sentIncarnation, sentRequestNumber));
        }
    }

    /**
     * Delivers some heartbeats again up to 41 s later, possibly after the machine was terminated.
     * The response to the duplicate is dropped.
     */
    private void maybeDuplicateLater(WorkerHeartbeat heartbeat) {
        if (simulation.random.nextInt(HEARTBEATS_PER_DUPLICATE) > 0) {
            return;
        }
        simulation.scheduleAfter(
                1_000 + simulation.random.nextInt(40_000),
                () -> {
                    simulation.duplicateHeartbeats++;
                    simulation
                            .controllers
                            .get(simulation.random.nextInt(simulation.controllers.size()))
                            .request(
                                    requestId -> new Command.Heartbeat(requestId, heartbeat),
                                    response -> {});
                });
    }

    private void sendHeartbeat() {
        requestInFlight = true;
        lastHeartbeatAtMs = simulation.nowMs;
        nextHeartbeatAtMs =
                simulation.nowMs
                        + (long)
                                (simulation.settings.heartbeatIntervalS()
                                        * 1000
                                        * (0.75 + simulation.random.nextDouble() / 2));
        long sentAtMs = simulation.nowMs;
        long sentIncarnation = incarnation;
        long sentRequestNumber = ++requestNumber;
        WorkerHeartbeat heartbeat = createHeartbeat();
        SimulatedController node = simulation.controllers.get(targetNode);
        simulation.scheduleAfter(
                RESPONSE_TIMEOUT_MS,
                () -> {
                    if (requestNumber == sentRequestNumber && requestInFlight) {
                        requestInFlight = false;
                        tryNextNode();
                    }
                });
        maybeDuplicateLater(heartbeat);
        if (simulation.retainHeartbeats && simulation.random.nextInt(4) == 0) {
            simulation.retainedHeartbeats.add(heartbeat);
        }
        if (simulation.nowMs < outboundBlockedUntilMs) {
            return;
        }
        simulation.network.send(
                id,
                node.host,
                () -> {
                    if (node.isRunning()) {
                        node.request(
                                requestId -> new Command.Heartbeat(requestId, heartbeat),
                                response ->
                                        simulation.network.send(
                                                node.host,
                                                id,
                                                () ->
                                                        receiveResponse(
                                                                response,
                                                                sentAtMs,
                                                                sentIncarnation,
                                                                sentRequestNumber)));
                    }
                });
    }

    private void handleResponse(
            WireResponse response, long sentAtMs, long sentIncarnation, long sentRequestNumber) {
        if (requestNumber != sentRequestNumber
                || !requestInFlight
                || terminated
                || simulation.nowMs - sentAtMs > RESPONSE_TIMEOUT_MS) {
            return;
        }
        expireLeaseIfDue();
        requestInFlight = false;
        if (response.status() == ReplyStatus.OK) {
            long responseToken = ((Number) response.body().get("baton")).longValue();
            if (sentIncarnation == incarnation && responseToken >= fencingToken) {
                leaseRenewedAtMs = Math.max(leaseRenewedAtMs, sentAtMs);
                if (responseToken > fencingToken) {
                    fencingToken = responseToken;
                    requestPromptHeartbeat();
                }
                tasks.executeOrders(response.body());
            }
        } else if (response.status() == MISDIRECTED_REQUEST
                && response.body().get("foreman") instanceof String host) {
            int leader = Integer.parseInt(host.substring(host.indexOf('-') + 1));
            if (leader == targetNode) {
                tryNextNode();
            } else {
                targetNode = leader;
                nextHeartbeatAtMs = simulation.nowMs + simulation.random.nextInt(500);
                // A redirected worker need not keep the minimum interval between heartbeats.
                lastHeartbeatAtMs = 0;
            }
        } else {
            tryNextNode();
        }
    }

    private void tryNextNode() {
        targetNode = (targetNode + 1) % simulation.controllers.size();
        nextHeartbeatAtMs = simulation.nowMs + RETRY_DELAY_MS;
    }

    /**
     * Receives direct orders, possibly late; they are executed once the machine no longer hangs.
     */
    void receiveDirectOrders(Effect.SendOrders orders) {
        if (terminated || !isUp || simulation.nowMs < inboundBlockedUntilMs) {
            return;
        }
        if (simulation.nowMs < hangingUntilMs) {
            simulation.scheduleAt(hangingUntilMs, () -> receiveDirectOrders(orders));
            return;
        }
        expireLeaseIfDue();
        if (orders.fencingToken() >= fencingToken && orders.workerIncarnation() == incarnation) {
            fencingToken = orders.fencingToken();
            sequenceNumber++;
            tasks.executeOrders(
                    WorkerFormat.directOrders(
                            orders.fencingToken(), orders.workerIncarnation(), orders.orders()));
        }
    }
}
