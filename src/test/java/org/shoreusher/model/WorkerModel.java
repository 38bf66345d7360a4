package org.shoreusher.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Command;
import org.shoreusher.core.Effect;
import org.shoreusher.core.WorkerReport;
import org.shoreusher.core.WorkerReport.ExitCause;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.core.WorkerReport.TaskState;
import org.shoreusher.wire.WorkerFormat;

/** A simulated worker with incarnations, leases and fencing tokens. */
final class WorkerModel {
    private static final long PATIENCE_MS = 4_000;
    private static final long RESULT_KEPT = -1;

    /** One save in this number fails. */
    private static final int SAVES_FAIL = 4;

    /** One heartbeat in this number has a late duplicate. */
    private static final int COPIED = 12;

    final String id;
    final String type;
    final String zone;
    final boolean spot;
    final long rentedAt;
    private final World world;
    private final int number;
    private final Map<String, WorkerTask> tasks = new LinkedHashMap<>();
    private final Map<String, Long> results = new HashMap<>();
    private boolean up;
    private boolean gone;
    private long hangingUntil;
    private long deafUntil;
    private long muteUntil;

    /** When the cloud reclaims the machine, in ms; 0 without a notice. */
    private long takenAt;

    private long session = 1;
    private long seq;
    private long token;
    private long leaseFrom;
    private int target;
    private long flight;
    private boolean inFlight;
    private long nextReportAt;
    private long lastReportAt = -1_000;

    WorkerModel(World world, String id, String type, String zone, boolean spot, int number) {
        this.world = world;
        this.id = id;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.number = number;
        this.rentedAt = world.now;
    }

    String address() {
        return "10.1." + number / 250 + "." + (1 + number % 250) + ":9000";
    }

    boolean up() {
        return up;
    }

    void boot() {
        if (!gone) {
            up = true;
            leaseFrom = world.now;
            target = world.random.nextInt(world.processes.size());
            loop();
        }
    }

    void destroy() {
        gone = true;
        tasks.keySet().forEach(k -> world.rules.off(this, k));
        tasks.clear();
    }

    /** The machine executes nothing and sends nothing for a while. */
    void hang(long forMs) {
        hangingUntil = world.now + forMs;
    }

    /** A one-way partition: nothing sent to the machine arrives for a while. */
    void deafen(long forMs) {
        deafUntil = world.now + forMs;
    }

    /** A one-way partition: heartbeats reach no controller for a while. */
    void mute(long forMs) {
        muteUntil = world.now + forMs;
    }

    /** The cloud gives an interruption notice, and reclaims the machine at its end. */
    void notice(long inMs) {
        takenAt = world.now + inMs;
        change();
        world.in(inMs, () -> world.cloud.take(this));
    }

    /** Whether the machine is up and no fault affects it. */
    boolean well() {
        return up
                && !gone
                && world.now >= hangingUntil
                && world.now >= deafUntil
                && world.now >= muteUntil;
    }

    boolean hasTasks() {
        return !tasks.isEmpty();
    }

    private void loop() {
        if (gone) {
            return;
        }
        // Also while it hangs: tasks on a machine whose lease has expired count as stopped.
        lease();
        if (world.now >= hangingUntil) {
            if (!inFlight && world.now >= nextReportAt && world.now - lastReportAt >= 500) {
                report();
            }
        }
        world.in(50, this::loop);
    }

    private void lease() {
        double extra = world.sabotage == World.Sabotage.WORKERS_OUTLIVE_LEASES ? 3 : 1;
        if (world.now - leaseFrom > world.settings.workerLeaseS() * 1000 * extra) {
            tasks.forEach(
                    (k, t) -> {
                        if (t.state != TaskState.EXITED) {
                            world.rules.off(this, k);
                        }
                    });
            tasks.clear();
            session++;
            leaseFrom = world.now;
            change();
        }
    }

    private void change() {
        nextReportAt = 0;
    }

    private WorkerReport snapshot() {
        List<TaskReport> list = new ArrayList<>();
        tasks.values().forEach(t -> list.add(t.report()));
        double noticeS = takenAt == 0 ? Double.NaN : (takenAt - world.now) / 1000.0;
        return new WorkerReport(
                id, address(), type, zone, spot, session, ++seq, token, noticeS, list);
    }

    /** A response arrives at the machine. */
    private void heard(WireAnswer answer, long sentAt, long ofSession, long ofFlight) {
        if (world.now < deafUntil) {
            return;
        }
        if (world.sabotage == World.Sabotage.LATE_ANSWERS_EXECUTED
                && !gone
                && answer.status() == 200) {
            orders(answer.body());
        } else if (flight == ofFlight && inFlight && !gone) {
            long wait = Math.max(0, hangingUntil - world.now);
            world.in(wait, () -> answered(answer, sentAt, ofSession, ofFlight));
        }
    }

    /** A duplicate may come late, even after the machine's end; its response is dropped. */
    private void copyLater(WorkerReport report) {
        if (world.random.nextInt(COPIED) > 0) {
            return;
        }
        world.in(
                1_000 + world.random.nextInt(40_000),
                () -> {
                    world.copies++;
                    world.processes
                            .get(world.random.nextInt(world.processes.size()))
                            .request(n -> new Command.Report(n, report), answer -> {});
                });
    }

    private void report() {
        inFlight = true;
        lastReportAt = world.now;
        nextReportAt =
                world.now
                        + (long)
                                (world.settings.heartbeatIntervalS()
                                        * 1000
                                        * (0.75 + world.random.nextDouble() / 2));
        long sentAt = world.now;
        long ofSession = session;
        long ofFlight = ++flight;
        WorkerReport report = snapshot();
        World.Process node = world.processes.get(target);
        world.in(
                PATIENCE_MS,
                () -> {
                    if (flight == ofFlight && inFlight) {
                        inFlight = false;
                        next(1_000);
                    }
                });
        copyLater(report);
        if (world.keepReports && world.random.nextInt(4) == 0) {
            world.kept.add(report);
        }
        if (world.now < muteUntil) {
            return;
        }
        world.network.send(
                id,
                node.host,
                () -> {
                    if (node.alive()) {
                        node.request(
                                n -> new Command.Report(n, report),
                                answer ->
                                        world.network.send(
                                                node.host,
                                                id,
                                                () -> heard(answer, sentAt, ofSession, ofFlight)));
                    }
                });
    }

    private void answered(WireAnswer answer, long sentAt, long ofSession, long ofFlight) {
        if (flight != ofFlight || !inFlight || gone || world.now - sentAt > PATIENCE_MS) {
            return;
        }
        lease();
        inFlight = false;
        if (answer.status() == 200) {
            long baton = ((Number) answer.body().get("baton")).longValue();
            if (ofSession == session && baton >= token) {
                leaseFrom = Math.max(leaseFrom, sentAt);
                if (baton > token) {
                    token = baton;
                    change();
                }
                orders(answer.body());
            }
        } else if (answer.status() == 421 && answer.body().get("foreman") instanceof String host) {
            int named = Integer.parseInt(host.substring(host.indexOf('-') + 1));
            if (named == target) {
                next(1_000);
            } else {
                target = named;
                nextReportAt = world.now + world.random.nextInt(500);
                lastReportAt = 0;
            }
        } else {
            next(1_000);
        }
    }

    private void next(long pause) {
        target = (target + 1) % world.processes.size();
        nextReportAt = world.now + pause;
    }

    /** Direct orders arrive, perhaps late. */
    void direct(Effect.Orders o) {
        if (gone || !up || world.now < deafUntil) {
            return;
        }
        if (world.now < hangingUntil) {
            world.at(hangingUntil, () -> direct(o));
            return;
        }
        lease();
        if (o.fencingToken() >= token && o.workerIncarnation() == session) {
            token = o.fencingToken();
            seq++;
            orders(WorkerFormat.directOrders(o.fencingToken(), o.workerIncarnation(), o.orders()));
        }
    }

    private void orders(Map<String, Object> body) {
        for (Object o : (List<?>) body.get("orders")) {
            Map<?, ?> m = (Map<?, ?>) o;
            String name = (String) m.get("sheet");
            long attempt = ((Number) m.get("try")).longValue();
            WorkerTask t = tasks.get(name);
            switch ((String) m.get("verb")) {
                case "run" -> start(name, attempt, t);
                case "halt" -> {
                    if (t != null && t.attempt == attempt && t.state != TaskState.EXITED) {
                        halt(name, t, ((Number) m.get("wind_down_s")).doubleValue());
                    }
                }
                default -> {
                    if (t != null && t.attempt == attempt && t.state == TaskState.EXITED) {
                        tasks.remove(name);
                    }
                }
            }
        }
    }

    private void start(String name, long attempt, WorkerTask present) {
        if (present != null) {
            if (present.attempt != attempt && world.sabotage == World.Sabotage.NONE) {
                throw new AssertionError("started " + name + " where it is already");
            }
            return;
        }
        WorkerTask t =
                new WorkerTask(
                        name.substring(0, name.indexOf('/')),
                        Integer.parseInt(name.substring(name.indexOf('/') + 1)),
                        attempt);
        tasks.put(name, t);
        change();
        world.in(200 + world.random.nextInt(800), () -> progress(name, t, () -> run(name, t)));
    }

    /** Continues with a task unless it is gone; not while the machine hangs. */
    private void progress(String name, WorkerTask t, Runnable go) {
        if (gone || tasks.get(name) != t || t.state == TaskState.EXITED) {
            return;
        }
        if (world.now < hangingUntil) {
            world.at(hangingUntil + 1, () -> progress(name, t, go));
            return;
        }
        lease();
        if (tasks.get(name) == t) {
            go.run();
        }
    }

    private void run(String name, WorkerTask t) {
        t.state = TaskState.RUNNING;
        world.rules.on(this, name);
        change();
        if (!world.users.ends(t.job)) {
            // A replica; a few exit all the same, with or without an error.
            if (world.random.nextInt(6) == 0) {
                world.in(
                        world.random.nextInt(40_000),
                        () ->
                                progress(
                                        name,
                                        t,
                                        () ->
                                                exit(
                                                        name,
                                                        t,
                                                        world.random.nextBoolean()
                                                                ? ExitCause.ERROR
                                                                : ExitCause.COMPLETED)));
            }
            return;
        }
        long duration = results.containsKey(name) ? 1 : world.users.runMs(t.job);
        world.in(
                duration,
                () ->
                        progress(
                                name,
                                t,
                                () -> {
                                    if (t.state == TaskState.CHECKPOINTING) {
                                        // It was stopped, and exits after its checkpoint.
                                        return;
                                    }
                                    if (world.random.nextInt(60) == 0) {
                                        exit(name, t, ExitCause.ERROR);
                                    } else {
                                        results.put(name, RESULT_KEPT);
                                        world.rules.completed(name);
                                        exit(name, t, ExitCause.COMPLETED);
                                    }
                                }));
    }

    /** A running task writes a checkpoint if it can; one in some fails. */
    private void halt(String name, WorkerTask t, double windDownS) {
        UserModel.Wish w = world.users.wishes.get(t.job);
        if (w == null
                || w.spec.checkpointIntervalS() <= 0
                || windDownS < w.spec.checkpointDurationS()
                || windDownS <= 0) {
            exit(name, t, ExitCause.STOPPED);
        } else if (t.state == TaskState.RUNNING) {
            t.state = TaskState.CHECKPOINTING;
            change();
            world.in(
                    Math.round(w.spec.checkpointDurationS() * 1_000),
                    () ->
                            progress(
                                    name,
                                    t,
                                    () -> {
                                        t.saved = world.random.nextInt(SAVES_FAIL) > 0;
                                        exit(name, t, ExitCause.STOPPED);
                                    }));
        } else if (t.state == TaskState.FETCHING) {
            exit(name, t, ExitCause.STOPPED);
        }
    }

    private void exit(String name, WorkerTask t, ExitCause cause) {
        if (t.state != TaskState.FETCHING) {
            world.rules.off(this, name);
        }
        t.state = TaskState.EXITED;
        t.cause = cause;
        change();
    }
}
