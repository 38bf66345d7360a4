package org.shoreusher.standin;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * A worker that follows the protocol: it sends heartbeats to one controller at a time, follows
 * redirects, keeps its lease and incarnation, and simulates its tasks according to their job's
 * profile. Thousands of workers share one event loop. Thread-safe.
 */
public final class WorkerStandIn {
    private static final long RESPONSE_TIMEOUT_MS = 4_000;
    private static final long RETRY_MS = 1_000;
    private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
    private static final double INTERVAL_JITTER_SHARE = 0.25;
    private static final int MAX_IDLE_CONNECTIONS = 1;
    private static final int STATUS_MISDIRECTED = 421;
    private static final double NS_PER_MS = 1e6;

    /** A machine's id, type and zone, and whether it is a spot machine. */
    public record Identity(String id, String type, String zone, boolean spot) {}

    /**
     * Settings that all workers of a cluster share.
     *
     * @param loop the event loop of the workers
     * @param controllers front addresses of the controllers by host name
     * @param heartbeatIntervalMs heartbeat interval in ms
     * @param workerLeaseMs ms after the last accepted heartbeat until the lease expires and all
     *     tasks end
     * @param profiles returns the profile of a job by its id
     * @param history records what the tasks do
     */
    public record Environment(
            EventLoop loop,
            Map<String, Settings.Address> controllers,
            long heartbeatIntervalMs,
            long workerLeaseMs,
            Function<String, JobProfile> profiles,
            TaskHistory history) {}

    private final Identity identity;
    private final Environment environment;
    private final Random random;
    private final List<String> hosts;
    private final Map<String, HttpCaller> callers = new HashMap<>();
    private final StandInTasks tasks;
    private int controllerIndex;
    private long incarnation = 1;
    private long sequence;
    private long fencingToken;
    private long fencingTokenReportedNs = System.nanoTime();
    private long leaseStartNs = System.nanoTime();
    private long lastHeartbeatNs;
    private boolean heartbeatInFlight;
    private boolean hasUnreportedChange;
    private long partitionedUntilNs = System.nanoTime();
    private volatile boolean stopped;

    /** Starts the worker, which sends its first heartbeat after a short random delay. */
    public WorkerStandIn(Identity identity, Environment environment) {
        this.identity = identity;
        this.environment = environment;
        random = new Random(identity.id().hashCode());
        tasks = new StandInTasks(identity.id(), environment, new TaskCallbacks());
        hosts = environment.controllers().keySet().stream().sorted().toList();
        controllerIndex = random.nextInt(hosts.size());
        schedule(random.nextInt((int) MIN_HEARTBEAT_INTERVAL_MS), this::sendHeartbeat);
    }

    /** The machine's id, type and zone, and whether it is a spot machine. */
    public Identity identity() {
        return identity;
    }

    /** Stops the worker and ends all of its tasks, like a failure of the machine. */
    public synchronized void stop() {
        stopped = true;
        tasks.killAll();
    }

    /** Partitions the worker from all controllers; its tasks run until its lease expires. */
    public synchronized void partition(long durationMs) {
        partitionedUntilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
    }

    /** Names of the tasks that use resources, which are those that have not exited. */
    public synchronized List<String> activeTasks() {
        return tasks.activeTasks();
    }

    synchronized boolean hasActiveTask(String task) {
        return !stopped && tasks.isActive(task);
    }

    private void schedule(double delayMs, Runnable action) {
        environment
                .loop()
                .schedule(() -> unlessStopped(action), Math.round(delayMs), TimeUnit.MILLISECONDS);
    }

    /** Connects the tasks to this worker. */
    private final class TaskCallbacks implements StandInTasks.Callbacks {
        @Override
        public void schedule(double delayMs, Runnable action) {
            WorkerStandIn.this.schedule(delayMs, action);
        }

        @Override
        public void onTaskChange() {
            scheduleEarlyHeartbeat();
        }
    }

    private synchronized void unlessStopped(Runnable action) {
        if (!stopped) {
            checkLease();
            action.run();
        }
    }

    private void checkLease() {
        if (System.nanoTime() - leaseStartNs
                > TimeUnit.MILLISECONDS.toNanos(environment.workerLeaseMs())) {
            tasks.killAll();
            incarnation++;
            leaseStartNs = System.nanoTime();
        }
    }

    private void sendHeartbeat() {
        if (heartbeatInFlight) {
            return;
        }
        if (System.nanoTime() - partitionedUntilNs < 0) {
            schedule(RETRY_MS, this::sendHeartbeat);
            return;
        }
        heartbeatInFlight = true;
        hasUnreportedChange = false;
        lastHeartbeatNs = System.nanoTime();
        long sentNs = lastHeartbeatNs;
        long heartbeatIncarnation = incarnation;
        caller().call(
                        "/hello",
                        heartbeatBody(),
                        RESPONSE_TIMEOUT_MS,
                        (status, response) ->
                                unlessStopped(
                                        () ->
                                                onResponse(
                                                        status,
                                                        response,
                                                        sentNs,
                                                        heartbeatIncarnation)));
    }

    private HttpCaller caller() {
        return callers.computeIfAbsent(
                hosts.get(controllerIndex),
                host ->
                        new HttpCaller(
                                environment.loop(),
                                environment.controllers().get(host),
                                MAX_IDLE_CONNECTIONS));
    }

    private void onResponse(
            int status, Map<String, Object> body, long sentNs, long heartbeatIncarnation) {
        heartbeatInFlight = false;
        if (status == ReplyStatus.OK) {
            onAccepted(new FieldMap(body), sentNs, heartbeatIncarnation);
            scheduleHeartbeat();
            return;
        }
        caller().closeIdleConnections();
        int redirectIndex =
                status == STATUS_MISDIRECTED && body != null
                        ? hosts.indexOf(body.get("foreman"))
                        : -1;
        if (redirectIndex >= 0 && redirectIndex != controllerIndex) {
            controllerIndex = redirectIndex;
            schedule(random.nextInt((int) MIN_HEARTBEAT_INTERVAL_MS), this::sendHeartbeat);
        } else {
            controllerIndex = (controllerIndex + 1) % hosts.size();
            schedule(RETRY_MS, this::sendHeartbeat);
        }
    }

    private void scheduleHeartbeat() {
        double jitter = 1 - INTERVAL_JITTER_SHARE + 2 * INTERVAL_JITTER_SHARE * random.nextDouble();
        scheduleUnlessSent(
                hasUnreportedChange
                        ? MIN_HEARTBEAT_INTERVAL_MS
                        : environment.heartbeatIntervalMs() * jitter);
    }

    /** Schedules an early heartbeat, at the shortest interval that the protocol allows. */
    private void scheduleEarlyHeartbeat() {
        hasUnreportedChange = true;
        if (!heartbeatInFlight) {
            double sinceMs = (System.nanoTime() - lastHeartbeatNs) / NS_PER_MS;
            scheduleUnlessSent(Math.max(0, MIN_HEARTBEAT_INTERVAL_MS - sinceMs));
        }
    }

    /** Schedules a heartbeat that is skipped if another one has been sent by then. */
    private void scheduleUnlessSent(double delayMs) {
        long sequenceBefore = sequence;
        schedule(
                delayMs,
                () -> {
                    if (sequence == sequenceBefore) {
                        sendHeartbeat();
                    }
                });
    }

    private Map<String, Object> heartbeatBody() {
        Map<String, Object> heartbeat = new LinkedHashMap<>();
        heartbeat.put("box", identity.id());
        // No server listens on this address, so direct orders are lost, as in a one-way partition.
        heartbeat.put("addr", "127.0.0.1:1");
        heartbeat.put("press", identity.type());
        heartbeat.put("yard", identity.zone());
        heartbeat.put("loaners", identity.spot());
        heartbeat.put("shift", incarnation);
        heartbeat.put("tally", ++sequence);
        heartbeat.put("baton", fencingToken);
        heartbeat.put("sheets", tasks.heartbeatFields());
        return heartbeat;
    }

    private void onAccepted(FieldMap response, long sentNs, long heartbeatIncarnation) {
        try {
            // Ignores a response to a previous incarnation, or one with a lower fencing token.
            if (heartbeatIncarnation != incarnation || response.integer("baton") < fencingToken) {
                return;
            }
            observeFencingToken(response.integer("baton"));
            leaseStartNs = Math.max(leaseStartNs, sentNs);
            for (FieldMap order : response.maps("orders")) {
                tasks.execute(order);
            }
        } catch (FieldMap.InvalidFieldException e) {
            throw new IllegalStateException("invalid response to a heartbeat: " + e.getMessage());
        }
    }

    /**
     * Records a fencing token. A higher one causes an early heartbeat, at most once per half lease.
     */
    private void observeFencingToken(long receivedToken) {
        long sinceMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fencingTokenReportedNs);
        if (receivedToken > fencingToken
                && (fencingToken == 0 || sinceMs >= environment.workerLeaseMs() / 2)) {
            fencingTokenReportedNs = System.nanoTime();
            scheduleEarlyHeartbeat();
        }
        fencingToken = receivedToken;
    }
}
