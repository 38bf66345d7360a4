package org.shoreusher.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.message.WorkerHeartbeat.ExitCause;
import org.shoreusher.core.message.WorkerHeartbeat.TaskState;
import org.shoreusher.core.message.WorkerHeartbeat.TaskStatus;
import org.shoreusher.core.message.WorkerOrder;

/**
 * Decodes heartbeats of workers and encodes orders to them. The protocol calls a task "sheet", a
 * worker's incarnation "shift", the fencing token "baton", and the sequence number "tally".
 */
public final class WorkerFormat {
    private WorkerFormat() {}

    /**
     * Decodes a heartbeat.
     *
     * @throws FieldMap.InvalidFieldException with the first error in it
     */
    public static WorkerHeartbeat readHeartbeat(FieldMap heartbeat)
            throws FieldMap.InvalidFieldException {
        List<TaskStatus> tasks = new ArrayList<>();
        for (FieldMap taskFields : heartbeat.maps("sheets")) {
            tasks.add(readTask(taskFields));
        }
        return new WorkerHeartbeat(
                heartbeat.text("box"),
                heartbeat.textOr("addr", ""),
                heartbeat.text("press"),
                heartbeat.text("yard"),
                heartbeat.flagOr("loaners", false),
                heartbeat.integer("shift"),
                heartbeat.integer("tally"),
                heartbeat.integerOr("baton", 0),
                heartbeat.numberOr("warning_s", Double.NaN),
                tasks);
    }

    private static TaskStatus readTask(FieldMap fields) throws FieldMap.InvalidFieldException {
        String name = fields.text("sheet");
        int slash = name.lastIndexOf('/');
        if (slash < 1) {
            throw invalidTaskName();
        }
        int taskIndex;
        try {
            taskIndex = Integer.parseInt(name.substring(slash + 1));
        } catch (NumberFormatException e) {
            throw invalidTaskName();
        }
        TaskState state = state(fields.text("status"));
        return new TaskStatus(
                name.substring(0, slash),
                taskIndex,
                fields.integer("try"),
                state,
                state == TaskState.EXITED ? cause(fields.textOr("cause", "")) : ExitCause.NONE,
                fields.flagOr("stored", false));
    }

    private static FieldMap.InvalidFieldException invalidTaskName() {
        return new FieldMap.InvalidFieldException("sheet must look like wk-000412/3");
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
    private static List<Object> writeOrders(List<WorkerOrder> orders) {
        List<Object> encoded = new ArrayList<>(orders.size());
        for (WorkerOrder order : orders) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put(
                    "verb",
                    switch (order.kind()) {
                        case START -> "run";
                        case STOP -> "halt";
                        case FORGET -> "forget";
                    });
            fields.put("sheet", order.jobId() + "/" + order.taskIndex());
            fields.put("try", order.attemptNumber());
            if (order.kind() == WorkerOrder.Kind.STOP) {
                fields.put("wind_down_s", order.gracePeriodS());
            }
            encoded.add(fields);
        }
        return encoded;
    }

    /** The body of the response to an accepted heartbeat. */
    static Map<String, Object> heartbeatResponse(long fencingToken, List<WorkerOrder> orders) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("baton", fencingToken);
        body.put("orders", writeOrders(orders));
        return body;
    }

    /** The body of a direct call with orders; {@code incarnation} is the worker's. */
    public static Map<String, Object> directOrders(
            long fencingToken, long incarnation, List<WorkerOrder> orders) {
        Map<String, Object> body = heartbeatResponse(fencingToken, orders);
        body.put("shift", incarnation);
        return body;
    }
}
