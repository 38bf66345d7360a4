package org.shoreusher.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.wire.FieldMap;

/** A worker that reports to one controller and runs what it is told; batch tasks end at once. */
final class WorkerStandIn {
    private static final long REPORT_MS = 300;

    /** A machine's name and kind. */
    record Identity(String id, boolean spot) {}

    /** A task on this machine. */
    private record Task(long attempt, String status, String cause) {}

    private final Identity identity;
    private final ControllerClient controller;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private long sequence;
    private long token;
    private volatile boolean stopped;

    /** Begins to report. */
    WorkerStandIn(Identity identity, ControllerClient controller) {
        this.identity = identity;
        this.controller = controller;
        Thread thread = new Thread(this::loop, identity.id());
        thread.setDaemon(true);
        thread.start();
    }

    Identity identity() {
        return identity;
    }

    void stop() {
        stopped = true;
    }

    synchronized boolean runs(String task) {
        return !stopped && tasks.containsKey(task) && tasks.get(task).cause() == null;
    }

    private void loop() {
        try {
            while (!stopped) {
                ControllerClient.Reply reply = controller.call("/hello", report());
                if (reply.status() == 200) {
                    carryOut(new FieldMap(reply.body()));
                }
                Thread.sleep(REPORT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (FieldMap.Missing e) {
            throw new IllegalStateException("an answer to a report: " + e.getMessage());
        }
    }

    private synchronized Map<String, Object> report() {
        List<Object> list = new ArrayList<>();
        tasks.forEach((name, task) -> list.add(shown(name, task)));
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("box", identity.id());
        // Nothing listens there: direct commands are lost, as behind a cut.
        report.put("addr", "127.0.0.1:1");
        report.put("press", CloudStandIn.TYPE);
        report.put("yard", CloudStandIn.ZONE);
        report.put("loaners", identity.spot());
        report.put("shift", 1L);
        report.put("tally", ++sequence);
        report.put("baton", token);
        report.put("sheets", list);
        return report;
    }

    private static Map<String, Object> shown(String name, Task task) {
        Map<String, Object> shown = new LinkedHashMap<>();
        shown.put("sheet", name);
        shown.put("try", task.attempt());
        shown.put("status", task.status());
        if (task.cause() != null) {
            shown.put("cause", task.cause());
        }
        return shown;
    }

    private synchronized void carryOut(FieldMap answer) throws FieldMap.Missing {
        if (answer.whole("baton") < token) {
            return;
        }
        token = answer.whole("baton");
        // What ran for one report is done by the next, except the replicas of services.
        for (FieldMap order : answer.list("orders")) {
            String name = order.text("sheet");
            long attempt = order.whole("try");
            switch (order.text("verb")) {
                case "run" -> tasks.putIfAbsent(name, started(name, attempt));
                case "halt" ->
                        tasks.computeIfPresent(
                                name, (n, task) -> new Task(attempt, "exited", "halted"));
                default -> tasks.remove(name);
            }
        }
    }

    private static Task started(String name, long attempt) {
        return name.startsWith(ServiceRehearsal.SERVICE)
                ? new Task(attempt, "running", null)
                : new Task(attempt, "exited", "done");
    }
}
