package org.shoreusher.simulation;

import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.wire.WorkerFormat;

/** A simulated worker with incarnations, leases and fencing tokens. */
final class SimulatedWorker {
    /** The HTTP status by which a node names the leader. */
    private static final int MISDIRECTED_REQUEST = 421;

    private static final long RESPONSE_TIMEOUT_MS = 4_000;

    /** One heartbeat in this number has a late duplicate. */
    private static final int ONE_HEARTBEAT_DUPLICATED_IN = 12;

    final String id;
    final String type;
    final String zone;
    final boolean spot;
    final long provisionedAtMs;
    private final ClusterSimulation simulation;
    private final int number;
    private final SimulatedTasks tasks;
    private boolean isUp;
    private boolean terminated;
    private long hangingUntilMs;
    private long inboundBlockedUntilMs;
    private long outboundBlockedUntilMs;

    /** When the cloud reclaims the machine, in ms; 0 without a notice. */
    private long reclaimedAtMs;

    private long incarnation = 1;
    private long sequenceNumber;
    private long fencingToken;
    private long leaseRenewedAtMs;
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

    /** The machine executes nothing and sends nothing for a while. */
    void hang(long durationMs) {
        hangingUntilMs = simulation.nowMs + durationMs;
    }

    /** A one-way partition: nothing sent to the machine arrives for a while. */
    void blockInbound(long durationMs) {
        inboundBlockedUntilMs = simulation.nowMs + durationMs;
    }

    /** A one-way partition: heartbeats reach no controller for a while. */
    void blockOutbound(long durationMs) {
        outboundBlockedUntilMs = simulation.nowMs + durationMs;
    }

    /** The cloud gives an interruption notice, and reclaims the machine at its end. */
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
        // Also while it hangs: tasks on a machine whose lease has expired count as stopped.
        expireLeaseIfDue();
        if (simulation.nowMs >= hangingUntilMs) {
            if (!requestInFlight
                    && simulation.nowMs >= nextHeartbeatAtMs
                    && simulation.nowMs - lastHeartbeatAtMs >= 500) {
                sendHeartbeat();
            }
        }
        simulation.scheduleAfter(50, this::heartbeatLoop);
    }

    void expireLeaseIfDue() {
        double extra =
                simulation.injectedDefect == ClusterSimulation.InjectedDefect.WORKERS_OUTLIVE_LEASES
                        ? 3
                        : 1;
        if (simulation.nowMs - leaseRenewedAtMs
                > simulation.settings.workerLeaseS() * 1000 * extra) {
            tasks.removeAtLeaseExpiry();
            incarnation++;
            leaseRenewedAtMs = simulation.nowMs;
            requestPromptHeartbeat();
        }
    }

    /** Lets the next heartbeat be sent as soon as the shortest interval allows. */
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

    /** A response arrives at the machine. */
    private void receiveResponse(
            WireResponse response, long sentAtMs, long ofIncarnation, long ofRequest) {
        if (simulation.nowMs < inboundBlockedUntilMs) {
            return;
        }
        if (simulation.injectedDefect == ClusterSimulation.InjectedDefect.LATE_RESPONSES_EXECUTED
                && !terminated
                && response.status() == ReplyStatus.OK) {
            tasks.executeOrders(response.body());
        } else if (requestNumber == ofRequest && requestInFlight && !terminated) {
            long wait = Math.max(0, hangingUntilMs - simulation.nowMs);
            simulation.scheduleAfter(
                    wait, () -> handleResponse(response, sentAtMs, ofIncarnation, ofRequest));
        }
    }

    /** A duplicate may come late, even after the machine's end; its response is dropped. */
    private void maybeDuplicateLater(WorkerHeartbeat heartbeat) {
        if (simulation.random.nextInt(ONE_HEARTBEAT_DUPLICATED_IN) > 0) {
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
        long ofIncarnation = incarnation;
        long ofRequest = ++requestNumber;
        WorkerHeartbeat heartbeat = createHeartbeat();
        SimulatedController node = simulation.controllers.get(targetNode);
        simulation.scheduleAfter(
                RESPONSE_TIMEOUT_MS,
                () -> {
                    if (requestNumber == ofRequest && requestInFlight) {
                        requestInFlight = false;
                        tryNextNode(1_000);
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
                                                                ofIncarnation,
                                                                ofRequest)));
                    }
                });
    }

    private void handleResponse(
            WireResponse response, long sentAtMs, long ofIncarnation, long ofRequest) {
        if (requestNumber != ofRequest
                || !requestInFlight
                || terminated
                || simulation.nowMs - sentAtMs > RESPONSE_TIMEOUT_MS) {
            return;
        }
        expireLeaseIfDue();
        requestInFlight = false;
        if (response.status() == ReplyStatus.OK) {
            long responseToken = ((Number) response.body().get("baton")).longValue();
            if (ofIncarnation == incarnation && responseToken >= fencingToken) {
                leaseRenewedAtMs = Math.max(leaseRenewedAtMs, sentAtMs);
                if (responseToken > fencingToken) {
                    fencingToken = responseToken;
                    requestPromptHeartbeat();
                }
                tasks.executeOrders(response.body());
            }
        } else if (response.status() == MISDIRECTED_REQUEST
                && response.body().get("foreman") instanceof String host) {
            int named = Integer.parseInt(host.substring(host.indexOf('-') + 1));
            if (named == targetNode) {
                tryNextNode(1_000);
            } else {
                targetNode = named;
                nextHeartbeatAtMs = simulation.nowMs + simulation.random.nextInt(500);
                lastHeartbeatAtMs = 0;
            }
        } else {
            tryNextNode(1_000);
        }
    }

    private void tryNextNode(long pauseMs) {
        targetNode = (targetNode + 1) % simulation.controllers.size();
        nextHeartbeatAtMs = simulation.nowMs + pauseMs;
    }

    /** Direct orders arrive, perhaps late. */
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
