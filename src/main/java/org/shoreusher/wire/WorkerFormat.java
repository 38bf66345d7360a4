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
 * Decodes heartbeats of workers and encodes orders to them. In the protocol, a machine is called
 * "box", its machine type "press", its zone "yard", a spot machine "loaners", a task "sheet", an
 * attempt number "try", a worker's incarnation "shift", the sequence number of a heartbeat "tally",
 * the fencing token "baton", and the grace period of a stop order "wind_down_s".
 */
public final class WorkerFormat {
    private WorkerFormat() {}

    /**
     * Decodes a heartbeat.
     *
     * @throws FieldMap.InvalidFieldException names the first invalid field
     */
    public static WorkerHeartbeat readHeartbeat(FieldMap heartbeat)
            throws FieldMap.InvalidFieldException {
        List<TaskStatus> tasks = new ArrayList<>();
        for (FieldMap taskFields : heartbeat.maps("sheets")) {
            tasks.add(readTaskStatus(taskFields));
        }
        String machineId = heartbeat.text("box");
        if (!WorkerHeartbeat.isValidMachineId(machineId)) {
            throw new FieldMap.InvalidFieldException(
                    "box must be a machine id of visible ASCII characters, like host-000231");
        }
        return new WorkerHeartbeat(
                machineId,
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

    private static TaskStatus readTaskStatus(FieldMap fields)
            throws FieldMap.InvalidFieldException {
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
        TaskState state = parseTaskState(fields.text("status"));
        return new TaskStatus(
                name.substring(0, slash),
                taskIndex,
                fields.integer("try"),
                state,
                state == TaskState.EXITED
                        ? parseExitCause(fields.textOr("cause", ""))
                        : ExitCause.NONE,
                fields.flagOr("stored", false));
    }

    private static FieldMap.InvalidFieldException invalidTaskName() {
        return new FieldMap.InvalidFieldException(
                "sheet must be a job id, a slash and a task index, like wk-000412/3");
    }

    private static TaskState parseTaskState(String status) {
        return switch (status) {
            case "pulling", "gathering" -> TaskState.FETCHING;
            case "flushing" -> TaskState.CHECKPOINTING;
            case "exited" -> TaskState.EXITED;
            // A task in an unknown state counts as running: it uses resources of the machine.
            default -> TaskState.RUNNING;
        };
    }

    private static ExitCause parseExitCause(String cause) {
        return switch (cause) {
            case "done" -> ExitCause.COMPLETED;
            case "halted" -> ExitCause.STOPPED;
            case "no_room" -> ExitCause.INSUFFICIENT_RESOURCES;
            case "in_use" -> ExitCause.ANOTHER_ATTEMPT_PRESENT;
            case "unknown" -> ExitCause.UNKNOWN_TASK;
            default -> ExitCause.ERROR;
        };
    }

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

    /**
     * The body of a request that sends orders directly to a worker.
     *
     * @param incarnation the incarnation of the worker that the orders are for
     */
    public static Map<String, Object> directOrders(
            long fencingToken, long incarnation, List<WorkerOrder> orders) {
        Map<String, Object> body = heartbeatResponse(fencingToken, orders);
        body.put("shift", incarnation);
        return body;
    }
}
