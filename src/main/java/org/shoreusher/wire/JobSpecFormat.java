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
 * Encodes and decodes job specifications, as submitted by users and as stored. The two formats
 * differ only in how they mark a service. In the protocol, the class of a job is called "queue",
 * its team "crew", its tasks "sheets", its image "plate", its priority "urgency", its zone "yard",
 * its machine types "presses", spot machines "loaners", and a checkpoint "proof".
 */
public final class JobSpecFormat {
    private static final String BATCH_SHAPE = "sweep";
    private static final String SERVICE_SHAPE = "service";

    /**
     * Only in the store: a service is stored with the shape of a batch job and this field, because
     * versions that predate services cannot decode any other shape.
     */
    private static final String STORED_SERVICE_FIELD = "kept_up";

    /**
     * The fields that {@link #readStoredSpec} requires, and the one that distinguishes services
     * from batch jobs.
     */
    private static final Set<String> MINIMAL_SPEC_FIELDS =
            Set.of(
                    "name_id",
                    "queue",
                    "crew",
                    "shape",
                    STORED_SERVICE_FIELD,
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

    private JobSpecFormat() {}

    /** Decodes only the job id of a submission; null if it is absent. */
    public static String readJobIdOrNull(FieldMap fields) throws FieldMap.InvalidFieldException {
        return fields.textOr("name_id", null);
    }

    /**
     * Decodes a submitted job.
     *
     * @throws FieldMap.InvalidFieldException names the first invalid field
     */
    public static JobSpec readSubmission(FieldMap fields) throws FieldMap.InvalidFieldException {
        String shape = fields.text("shape");
        // Further shapes, such as gang scheduling, would be decoded here; the protocol has none.
        require(
                shape.equals(BATCH_SHAPE) || shape.equals(SERVICE_SHAPE),
                "shape must be sweep or service");
        return readSpec(
                fields, shape.equals(BATCH_SHAPE) ? WorkloadType.BATCH : WorkloadType.SERVICE);
    }

    /** Decodes a stored specification, which {@link #writeStoredSpec} has encoded. */
    public static JobSpec readStoredSpec(FieldMap fields) throws FieldMap.InvalidFieldException {
        return readSpec(
                fields,
                fields.flagOr(STORED_SERVICE_FIELD, false)
                        ? WorkloadType.SERVICE
                        : WorkloadType.BATCH);
    }

    private static JobSpec readSpec(FieldMap fields, WorkloadType workloadType)
            throws FieldMap.InvalidFieldException {
        String id = fields.text("name_id");
        require(
                JobSpec.isValidId(id),
                "name_id must be wk- followed by 1 to 37 digits, such as wk-000412");
        long tasks = fields.integer("sheets");
        require(
                tasks >= 1 && tasks <= MessageConstants.MAX_TASKS_PER_JOB,
                "sheets must be a whole number from 1 to "
                        + MessageConstants.MAX_TASKS_PER_JOB
                        + ", but it is "
                        + tasks);
        double cpus = nonNegativeNumber(fields, "cpus");
        double gpus = nonNegativeNumber(fields, "gpus");
        double memGb = nonNegativeNumber(fields, "mem_gb");
        List<String> types = fields.has("presses") ? fields.texts("presses") : null;
        double deadlineS = fields.has("due_s") ? nonNegativeNumber(fields, "due_s") : Double.NaN;
        return new JobSpec(
                id,
                fields.text("queue"),
                fields.text("crew"),
                workloadType,
                parsePriority(fields.text("urgency")),
                (int) tasks,
                cpus,
                gpus,
                memGb,
                fields.text("plate"),
                nonNegativeNumber(fields, "size_gb"),
                types,
                fields.textOr("yard", null),
                fields.flag("one_zone"),
                fields.flag("scatter"),
                fields.flag("loaners"),
                nonNegativeNumber(fields, "runtime_s"),
                nonNegativeNumber(fields, "proof_interval_s"),
                nonNegativeNumber(fields, "proof_s"),
                deadlineS);
    }

    private static double nonNegativeNumber(FieldMap fields, String field)
            throws FieldMap.InvalidFieldException {
        double value = fields.number(field);
        require(
                value >= 0 && value < Double.POSITIVE_INFINITY,
                field + " must be a number of at least 0, but it is " + value);
        return value;
    }

    private static void require(boolean condition, String message)
            throws FieldMap.InvalidFieldException {
        if (!condition) {
            throw new FieldMap.InvalidFieldException(message);
        }
    }

    private static Priority parsePriority(String urgency) throws FieldMap.InvalidFieldException {
        return switch (urgency) {
            case "prod" -> Priority.PRODUCTION;
            case "high" -> Priority.HIGH;
            case "standard" -> Priority.NORMAL;
            case "low" -> Priority.LOW;
            default ->
                    throw new FieldMap.InvalidFieldException(
                            "urgency must be prod, high, standard or low");
        };
    }

    private static String urgency(Priority priority) {
        return switch (priority) {
            case PRODUCTION -> "prod";
            case HIGH -> "high";
            case NORMAL -> "standard";
            case LOW -> "low";
        };
    }

    /** Encodes a job for submission; {@link #readSubmission} decodes it. */
    public static Map<String, Object> writeSubmission(JobSpec job) {
        Map<String, Object> fields = writeStoredSpec(job);
        if (fields.remove(STORED_SERVICE_FIELD) != null) {
            fields.put("shape", SERVICE_SHAPE);
        }
        return fields;
    }

    /** Encodes a job for the store; {@link #readStoredSpec} decodes it. */
    public static Map<String, Object> writeStoredSpec(JobSpec job) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name_id", job.id());
        fields.put("queue", job.jobClass());
        fields.put("crew", job.team());
        fields.put("shape", BATCH_SHAPE);
        if (!job.workloadType().runsToCompletion()) {
            fields.put(STORED_SERVICE_FIELD, true);
        }
        fields.put("urgency", urgency(job.priority()));
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
     * A copy of a stored specification without the fields that are needed only to start tasks.
     * {@link #readStoredSpec} can decode it; team, priority and resources are unchanged, while
     * class and image are empty.
     */
    public static Map<String, Object> resourcesOnly(Map<String, Object> storedSpec) {
        Map<String, Object> reduced = new LinkedHashMap<>(storedSpec);
        reduced.keySet().retainAll(MINIMAL_SPEC_FIELDS);
        reduced.put("queue", "");
        reduced.put("plate", "");
        return reduced;
    }
}
