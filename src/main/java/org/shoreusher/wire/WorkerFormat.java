package org.shoreusher.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.WorkerOrder;
import org.shoreusher.core.WorkerReport;
import org.shoreusher.core.WorkerReport.ExitCause;
import org.shoreusher.core.WorkerReport.TaskReport;
import org.shoreusher.core.WorkerReport.TaskState;

/**
 * Decodes heartbeats of workers and encodes orders to them. The protocol calls a task "sheet", a
 * worker's session "shift", the fencing token "baton", and the sequence number "tally".
 */
public final class WorkerFormat {
    private WorkerFormat() {}

    /**
     * Decodes a heartbeat.
     *
     * @throws FieldMap.Missing with the first error in it
     */
    public static WorkerReport report(FieldMap t) throws FieldMap.Missing {
        List<TaskReport> tasks = new ArrayList<>();
        for (FieldMap s : t.list("sheets")) {
            String name = s.text("sheet");
            int slash = name.lastIndexOf('/');
            if (slash < 1) {
                throw new FieldMap.Missing("sheet must look like wk-000412/3");
            }
            int index;
            try {
                index = Integer.parseInt(name.substring(slash + 1));
            } catch (NumberFormatException e) {
                throw new FieldMap.Missing("sheet must look like wk-000412/3");
            }
            TaskState state = state(s.text("status"));
            tasks.add(
                    new TaskReport(
                            name.substring(0, slash),
                            index,
                            s.whole("try"),
                            state,
                            state == TaskState.EXITED
                                    ? cause(s.textOr("cause", ""))
                                    : ExitCause.NONE,
                            s.flagOr("stored", false)));
        }
        return new WorkerReport(
                t.text("box"),
                t.textOr("addr", ""),
                t.text("press"),
                t.text("yard"),
                t.flagOr("loaners", false),
                t.whole("shift"),
                t.whole("tally"),
                t.wholeOr("baton", 0),
                t.numberOr("warning_s", Double.NaN),
                tasks);
    }

    private static TaskState state(String text) {
        return switch (text) {
            case "pulling", "gathering" -> TaskState.FETCHING;
            case "flushing" -> TaskState.CHECKPOINTING;
            case "exited" -> TaskState.EXITED;
            // An unknown state uses the machine's resources, like a running task.
            default -> TaskState.RUNNING;
        };
    }

    private static ExitCause cause(String text) {
        return switch (text) {
            case "done" -> ExitCause.COMPLETED;
            case "halted" -> ExitCause.STOPPED;
            case "no_room" -> ExitCause.INSUFFICIENT_RESOURCES;
            case "in_use" -> ExitCause.ANOTHER_ATTEMPT_PRESENT;
            case "unknown" -> ExitCause.UNKNOWN_TASK;
            default -> ExitCause.ERROR;
        };
    }

    /** Encodes orders as a list of maps. */
    public static List<Object> orders(List<WorkerOrder> orders) {
        List<Object> out = new ArrayList<>(orders.size());
        for (WorkerOrder o : orders) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put(
                    "verb",
                    switch (o.kind()) {
                        case START -> "run";
                        case STOP -> "halt";
                        case FORGET -> "forget";
                    });
            m.put("sheet", o.jobId() + "/" + o.taskIndex());
            m.put("try", o.attemptNumber());
            if (o.kind() == WorkerOrder.Kind.STOP) {
                m.put("wind_down_s", o.gracePeriodS());
            }
            out.add(m);
        }
        return out;
    }

    /** The body of the response to an accepted heartbeat. */
    public static Map<String, Object> answer(long term, List<WorkerOrder> orders) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("baton", term);
        m.put("orders", orders(orders));
        return m;
    }

    /** The body of a direct call with orders; {@code session} is the worker's session. */
    public static Map<String, Object> direct(long term, long session, List<WorkerOrder> orders) {
        Map<String, Object> m = answer(term, orders);
        m.put("shift", session);
        return m;
    }
}
