package org.shoreusher.wire;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.JobSpec.Priority;
import org.shoreusher.core.message.JobSpec.WorkloadType;
import org.shoreusher.core.message.MessageConstants;

/**
 * Encodes and decodes job specifications, both as users submit them and as the store keeps them,
 * which is nearly the same. The protocol calls a job's class "queue", its team "crew", its tasks
 * "sheets", its image "plate", and a checkpoint "proof".
 */
public final class UserFormat {
    private static final String SWEEP = "sweep";
    private static final String SERVICE = "service";

    /**
     * In the store only: a service is stored as a sweep with this field, since versions that
     * predate services cannot read any other shape.
     */
    private static final String SERVICE_MARK = "kept_up";

    /** The fields without which a stored specification cannot be decoded. */
    private static final Set<String> REQUIRED_FIELDS =
            Set.of(
                    "name_id",
                    "queue",
                    "crew",
                    "shape",
                    SERVICE_MARK,
                    "urgency",
                    "sheets",
                    "cpus",
                    "gpus",
                    "mem_gb",
                    "plate",
                    "size_gb",
                    "one_zone",
                    "scatter",
                    "loaners",
                    "runtime_s",
                    "proof_interval_s",
                    "proof_s");

    private UserFormat() {}

    /** Decodes the job id alone of a submission; null if it is absent. */
    public static String readJobIdOrNull(FieldMap fields) throws FieldMap.InvalidFieldException {
        return fields.textOr("name_id", null);
    }

    /**
     * Decodes the job of a submission.
     *
     * @throws FieldMap.InvalidFieldException with the first error in the job
     */
    public static JobSpec readSubmission(FieldMap fields) throws FieldMap.InvalidFieldException {
        String shape = fields.text("shape");
        // Gang scheduling and other shapes would be decoded here; the protocol has none today.
        require(shape.equals(SWEEP) || shape.equals(SERVICE), "shape must be sweep or service");
        return readSpec(fields, shape.equals(SWEEP) ? WorkloadType.BATCH : WorkloadType.SERVICE);
    }

    /** Decodes a specification from the store, as {@link #writeDescription} encodes it. */
    public static JobSpec readDescription(FieldMap fields) throws FieldMap.InvalidFieldException {
        return readSpec(
                fields,
                fields.flagOr(SERVICE_MARK, false) ? WorkloadType.SERVICE : WorkloadType.BATCH);
    }

    private static JobSpec readSpec(FieldMap fields, WorkloadType shape)
            throws FieldMap.InvalidFieldException {
        String id = fields.text("name_id");
        require(JobSpec.isValidId(id), "name_id must look like wk-000412");
        long tasks = fields.integer("sheets");
        require(
                tasks >= 1 && tasks <= MessageConstants.MAX_TASKS_PER_JOB,
                "sheets must be between 1 and " + MessageConstants.MAX_TASKS_PER_JOB);
        double cpus = amount(fields, "cpus");
        double gpus = amount(fields, "gpus");
        double memGb = amount(fields, "mem_gb");
        List<String> types = fields.has("presses") ? fields.texts("presses") : null;
        double deadlineS = fields.has("due_s") ? amount(fields, "due_s") : Double.NaN;
        return new JobSpec(
                id,
                fields.text("queue"),
                fields.text("crew"),
                shape,
                priority(fields.text("urgency")),
                (int) tasks,
                cpus,
                gpus,
                memGb,
                fields.text("plate"),
                amount(fields, "size_gb"),
                types,
                fields.textOr("yard", null),
                fields.flag("one_zone"),
                fields.flag("scatter"),
                fields.flag("loaners"),
                amount(fields, "runtime_s"),
                amount(fields, "proof_interval_s"),
                amount(fields, "proof_s"),
                deadlineS);
    }

    private static double amount(FieldMap fields, String field)
            throws FieldMap.InvalidFieldException {
        double value = fields.number(field);
        require(
                value >= 0 && value < Double.POSITIVE_INFINITY,
                field + " must be a number that is not negative");
        return value;
    }

    private static void require(boolean condition, String message)
            throws FieldMap.InvalidFieldException {
        if (!condition) {
            throw new FieldMap.InvalidFieldException(message);
        }
    }

    private static Priority priority(String text) throws FieldMap.InvalidFieldException {
        return switch (text) {
            case "prod" -> Priority.PRODUCTION;
            case "high" -> Priority.HIGH;
            case "standard" -> Priority.NORMAL;
            case "low" -> Priority.LOW;
            default ->
                    throw new FieldMap.InvalidFieldException(
                            "urgency must be prod, high, standard or low");
        };
    }

    private static String text(Priority priority) {
        return switch (priority) {
            case PRODUCTION -> "prod";
            case HIGH -> "high";
            case NORMAL -> "standard";
            case LOW -> "low";
        };
    }

    /** Encodes a job as users submit it, such that {@link #readSubmission} decodes it. */
    public static Map<String, Object> writeSubmission(JobSpec job) {
        Map<String, Object> fields = writeDescription(job);
        if (fields.remove(SERVICE_MARK) != null) {
            fields.put("shape", SERVICE);
        }
        return fields;
    }

    /** Encodes a job as the store keeps it, such that {@link #readDescription} decodes it. */
    public static Map<String, Object> writeDescription(JobSpec job) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name_id", job.id());
        fields.put("queue", job.jobClass());
        fields.put("crew", job.team());
        fields.put("shape", SWEEP);
        if (!job.workloadType().runsToCompletion()) {
            fields.put(SERVICE_MARK, true);
        }
        fields.put("urgency", text(job.priority()));
        fields.put("sheets", (long) job.taskCount());
        fields.put("cpus", job.cpus());
        fields.put("gpus", job.gpus());
        fields.put("mem_gb", job.memGb());
        fields.put("plate", job.image());
        fields.put("size_gb", job.imageGb());
        if (job.machineTypes() != null) {
            fields.put("presses", job.machineTypes());
        }
        if (job.zone() != null) {
            fields.put("yard", job.zone());
        }
        fields.put("one_zone", job.singleZone());
        fields.put("scatter", job.spreadAcrossZones());
        fields.put("loaners", job.spotAllowed());
        fields.put("runtime_s", job.estimatedRunS());
        fields.put("proof_interval_s", job.checkpointIntervalS());
        fields.put("proof_s", job.checkpointDurationS());
        if (!Double.isNaN(job.deadlineS())) {
            fields.put("due_s", job.deadlineS());
        }
        return fields;
    }

    /**
     * A stored specification without the fields that only starting tasks needs. {@link
     * #readDescription} still decodes it, with the job's team and its tasks' resources.
     */
    public static Map<String, Object> resourcesOnly(Map<String, Object> description) {
        Map<String, Object> reduced = new LinkedHashMap<>(description);
        reduced.keySet().retainAll(REQUIRED_FIELDS);
        reduced.put("queue", "");
        reduced.put("plate", "");
        return reduced;
    }
}
