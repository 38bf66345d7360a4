package org.shoreusher.standin;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * A worker that follows the protocol: it sends heartbeats to one controller at a time, follows
 * redirects, keeps its lease and session, and simulates its tasks according to their job's profile.
 * Thousands of workers share one event loop. Thread-safe.
 */
public final class WorkerStandIn {
    private static final long PATIENCE_MS = 4_000;
    private static final long RETRY_MS = 1_000;
    private static final long SOONEST_REPORT_MS = 500;
    private static final double REPORT_SPREAD = 0.25;
    private static final int CONNECTIONS = 1;

    /** A machine's name, type and zone, and whether it is a spot machine. */
    public record Identity(String id, String type, String zone, boolean spot) {}

    /**
     * Settings that all workers of a run share.
     *
     * @param loop the event loop of the workers
     * @param controllers front addresses of the controllers by host name
     * @param heartbeatIntervalMs heartbeat interval in ms
     * @param workerLeaseMs lease in ms; without an accepted heartbeat, tasks end after it
     * @param profiles profile of a job by its id
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
    private final Map<String, StandInTask> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final Set<String> fetching = new HashSet<>();
    private int target;
    private long session = 1;
    private long sequence;
    private long fencingToken;
    private long fencingTokenReportedNs = System.nanoTime();
    private long leaseStartNs = System.nanoTime();
    private long lastHeartbeatNs;
    private boolean inFlight;
    private boolean changed;
    private long partitionedUntilNs = System.nanoTime();
    private volatile boolean stopped;

    /** Starts the worker, which sends its first heartbeat after a short random delay. */
    public WorkerStandIn(Identity identity, Environment environment) {
        this.identity = identity;
        this.environment = environment;
        random = new Random(identity.id().hashCode());
        hosts = environment.controllers().keySet().stream().sorted().toList();
        target = random.nextInt(hosts.size());
        schedule(random.nextInt((int) SOONEST_REPORT_MS), this::sendHeartbeat);
    }

    /** The machine's name, type and zone. */
    public Identity identity() {
        return identity;
    }

    /** Stops the worker and ends all of its tasks, as when the machine fails. */
    public synchronized void stop() {
        stopped = true;
        endTasks();
    }

    /** Partitions the worker from all controllers; its tasks go on until the lease expires. */
    public synchronized void partition(long durationMs) {
        partitionedUntilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
    }

    /** Names of the tasks that use resources: those that have not exited. */
    public synchronized List<String> activeTasks() {
        return tasks.values().stream()
                .filter(task -> task.state != StandInTask.State.EXITED)
                .map(task -> task.name)
                .toList();
    }

    synchronized boolean hasActiveTask(String task) {
        return !stopped
                && tasks.containsKey(task)
                && tasks.get(task).state != StandInTask.State.EXITED;
    }

    private void schedule(double ms, Runnable action) {
        environment
                .loop()
                .schedule(() -> unlessStopped(action), Math.round(ms), TimeUnit.MILLISECONDS);
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
            endTasks();
            session++;
            leaseStartNs = System.nanoTime();
        }
    }

    private void endTasks() {
        tasks.values().forEach(this::recordInterruption);
        tasks.clear();
    }

    private void recordInterruption(StandInTask task) {
        if (task.state == StandInTask.State.RUNNING || task.state == StandInTask.State.SAVING) {
            environment
                    .history()
                    .recordEnd(task.name, identity.id(), task.progressS(), task.checkpointedS());
        }
    }

    // ---- heartbeats --------------------------------------------------------------------------

    private void sendHeartbeat() {
        if (inFlight) {
            return;
        }
        if (System.nanoTime() - partitionedUntilNs < 0) {
            schedule(RETRY_MS, this::sendHeartbeat);
            return;
        }
        inFlight = true;
        changed = false;
        lastHeartbeatNs = System.nanoTime();
        long sentNs = lastHeartbeatNs;
        long heartbeatSession = session;
        caller().call(
                        "/hello",
                        body(),
                        PATIENCE_MS,
                        (status, answer) ->
                                unlessStopped(
                                        () -> answered(status, answer, sentNs, heartbeatSession)));
    }

    private HttpCaller caller() {
        return callers.computeIfAbsent(
                hosts.get(target),
                host ->
                        new HttpCaller(
                                environment.loop(),
                                environment.controllers().get(host),
                                CONNECTIONS));
    }

    private void answered(
            int status, Map<String, Object> answer, long sentNs, long heartbeatSession) {
        inFlight = false;
        if (status == 200) {
            accepted(new FieldMap(answer), sentNs, heartbeatSession);
            scheduleHeartbeat();
            return;
        }
        caller().closeIdleConnections();
        String elsewhere = status == 421 && answer != null ? (String) answer.get("foreman") : null;
        int named = elsewhere == null ? -1 : hosts.indexOf(elsewhere);
        if (named >= 0 && named != target) {
            target = named;
            schedule(random.nextInt((int) SOONEST_REPORT_MS), this::sendHeartbeat);
        } else {
            target = (target + 1) % hosts.size();
            schedule(RETRY_MS, this::sendHeartbeat);
        }
    }

    private void scheduleHeartbeat() {
        double spread = 1 - REPORT_SPREAD + 2 * REPORT_SPREAD * random.nextDouble();
        long number = sequence;
        schedule(
                changed ? SOONEST_REPORT_MS : environment.heartbeatIntervalMs() * spread,
                () -> {
                    if (number == sequence) {
                        sendHeartbeat();
                    }
                });
    }

    /** Schedules an early heartbeat, at the shortest interval that the protocol allows. */
    private void scheduleEarlyHeartbeat() {
        changed = true;
        if (!inFlight) {
            double sinceMs = (System.nanoTime() - lastHeartbeatNs) / 1e6;
            long number = sequence;
            schedule(
                    Math.max(0, SOONEST_REPORT_MS - sinceMs),
                    () -> {
                        if (number == sequence) {
                            sendHeartbeat();
                        }
                    });
        }
    }

    private Map<String, Object> body() {
        List<Object> shown = new ArrayList<>();
        tasks.values().forEach(task -> shown.add(taskFields(task)));
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("box", identity.id());
        // Nothing listens there: direct orders are lost, as behind a partition.
        report.put("addr", "127.0.0.1:1");
        report.put("press", identity.type());
        report.put("yard", identity.zone());
        report.put("loaners", identity.spot());
        report.put("shift", session);
        report.put("tally", ++sequence);
        report.put("baton", fencingToken);
        report.put("sheets", shown);
        return report;
    }

    private static Map<String, Object> taskFields(StandInTask task) {
        Map<String, Object> shown = new LinkedHashMap<>();
        shown.put("sheet", task.name);
        shown.put("try", task.attempt);
        shown.put("status", task.state.wireName);
        if (task.exitCause != null) {
            shown.put("cause", task.exitCause);
            shown.put("stored", task.checkpointSaved);
        }
        return shown;
    }

    // ---- orders ------------------------------------------------------------------------------

    private void accepted(FieldMap answer, long sentNs, long heartbeatSession) {
        try {
            if (heartbeatSession != session || answer.integer("baton") < fencingToken) {
                return;
            }
            observeFencingToken(answer.integer("baton"));
            leaseStartNs = Math.max(leaseStartNs, sentNs);
            for (FieldMap order : answer.maps("orders")) {
                carryOut(order);
            }
        } catch (FieldMap.InvalidFieldException e) {
            throw new IllegalStateException("an answer to a report: " + e.getMessage());
        }
    }

    /** A higher fencing token causes an early heartbeat, at most once per half of the lease. */
    private void observeFencingToken(long seen) {
        long sinceMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - fencingTokenReportedNs);
        if (seen > fencingToken
                && (fencingToken == 0 || sinceMs >= environment.workerLeaseMs() / 2)) {
            fencingTokenReportedNs = System.nanoTime();
            scheduleEarlyHeartbeat();
        }
        fencingToken = seen;
    }

    private void carryOut(FieldMap order) throws FieldMap.InvalidFieldException {
        String name = order.text("sheet");
        long attempt = order.integer("try");
        StandInTask present = tasks.get(name);
        switch (order.text("verb")) {
            case "run" -> {
                if (present == null) {
                    start(name, attempt);
                }
            }
            case "halt" -> {
                if (present != null && present.attempt == attempt) {
                    halt(present, order.numberOr("wind_down_s", 0));
                }
            }
            default -> {
                if (present != null && present.attempt == attempt) {
                    tasks.remove(name);
                }
            }
        }
    }

    private void start(String name, long attempt) {
        JobProfile profile = environment.profiles().apply(name.substring(0, name.indexOf('/')));
        StandInTask task = new StandInTask(name, attempt, profile);
        tasks.put(name, task);
        scheduleEarlyHeartbeat();
        if (images.contains(profile.image())) {
            run(task);
        } else if (fetching.add(profile.image())) {
            environment.history().recordImageFetch();
            schedule(profile.imageFetchS() * 1_000, () -> fetched(profile.image()));
        }
    }

    private void fetched(String image) {
        fetching.remove(image);
        images.add(image);
        for (StandInTask task : tasks.values()) {
            if (task.state == StandInTask.State.FETCHING && task.profile.image().equals(image)) {
                run(task);
            }
        }
    }

    private void run(StandInTask task) {
        task.state = StandInTask.State.RUNNING;
        task.runningSinceNs = System.nanoTime();
        task.initialProgressS = environment.history().recordStart(task.name, identity.id());
        scheduleEarlyHeartbeat();
        double leftS = Math.max(0, task.profile.runTimeS() - task.initialProgressS);
        if (!Double.isInfinite(leftS)) {
            schedule(leftS * 1_000, () -> complete(task));
        }
    }

    private void complete(StandInTask task) {
        if (tasks.get(task.name) == task && task.state == StandInTask.State.RUNNING) {
            environment.history().recordCompletion(task.name, identity.id());
            exit(task, "done");
        }
    }

    private void halt(StandInTask task, double graceS) {
        if (task.state == StandInTask.State.RUNNING
                && task.profile.checkpointIntervalS() > 0
                && graceS >= task.profile.checkpointDurationS()) {
            task.state = StandInTask.State.SAVING;
            scheduleEarlyHeartbeat();
            double savedS = task.progressS();
            schedule(
                    task.profile.checkpointDurationS() * 1_000,
                    () -> {
                        if (tasks.get(task.name) == task
                                && task.state == StandInTask.State.SAVING) {
                            environment
                                    .history()
                                    .recordEnd(task.name, identity.id(), savedS, savedS);
                            task.checkpointSaved = true;
                            exit(task, "halted");
                        }
                    });
        } else if (task.state == StandInTask.State.FETCHING) {
            exit(task, "halted");
        } else if (task.state == StandInTask.State.RUNNING
                || (graceS <= 0 && task.state == StandInTask.State.SAVING)) {
            recordInterruption(task);
            exit(task, "halted");
        }
    }

    private void exit(StandInTask task, String cause) {
        task.state = StandInTask.State.EXITED;
        task.exitCause = cause;
        scheduleEarlyHeartbeat();
    }
}
