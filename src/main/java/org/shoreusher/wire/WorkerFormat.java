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
 * worker's session "shift", the fencing token "baton", and the sequence number "tally".
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
            String taskName = taskFields.text("sheet");
            int slash = taskName.lastIndexOf('/');
            if (slash < 1) {
                throw new FieldMap.InvalidFieldException("sheet must look like wk-000412/3");
            }
            int index;
            try {
                index = Integer.parseInt(taskName.substring(slash + 1));
            } catch (NumberFormatException e) {
                throw new FieldMap.InvalidFieldException("sheet must look like wk-000412/3");
            }
            TaskState state = state(taskFields.text("status"));
            tasks.add(
                    new TaskStatus(
                            taskName.substring(0, slash),
                            index,
                            taskFields.integer("try"),
                            state,
                            state == TaskState.EXITED
                                    ? cause(taskFields.textOr("cause", ""))
                                    : ExitCause.NONE,
                            taskFields.flagOr("stored", false)));
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
    public static List<Object> writeOrders(List<WorkerOrder> orders) {
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
    public static Map<String, Object> heartbeatResponse(long term, List<WorkerOrder> orders) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("baton", term);
        body.put("orders", writeOrders(orders));
        return body;
    }

    /** The body of a direct call with orders; {@code session} is the worker's session. */
    public static Map<String, Object> directOrders(
            long term, long session, List<WorkerOrder> orders) {
        Map<String, Object> body = heartbeatResponse(term, orders);
        body.put("shift", session);
        return body;
    }
}
