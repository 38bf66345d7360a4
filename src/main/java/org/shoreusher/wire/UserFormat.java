package org.shoreusher.wire;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpec.Priority;
import org.shoreusher.core.JobSpec.WorkloadType;
import org.shoreusher.settings.Tuning;

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
    private static final String KEPT_UP = "kept_up";

    /** The fields without which a stored specification cannot be decoded. */
    private static final Set<String> REQUIRED_FIELDS =
            Set.of(
                    "name_id",
                    "queue",
                    "crew",
                    "shape",
                    KEPT_UP,
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

    /**
     * Decodes the job of a submission.
     *
     * @throws FieldMap.Missing with the first error in the job
     */
    public static JobSpec job(FieldMap t) throws FieldMap.Missing {
        String shape = t.text("shape");
        // Gang scheduling and other shapes would be decoded here; the protocol has none today.
        need(shape.equals(SWEEP) || shape.equals(SERVICE), "shape must be sweep or service");
        return job(t, shape.equals(SWEEP) ? WorkloadType.BATCH : WorkloadType.SERVICE);
    }

    /** Decodes a specification from the store, as {@link #description} encodes it. */
    public static JobSpec described(FieldMap t) throws FieldMap.Missing {
        return job(t, t.flagOr(KEPT_UP, false) ? WorkloadType.SERVICE : WorkloadType.BATCH);
    }

    private static JobSpec job(FieldMap t, WorkloadType shape) throws FieldMap.Missing {
        String id = t.text("name_id");
        need(JobSpec.isValidId(id), "name_id must look like wk-000412");
        long tasks = t.whole("sheets");
        need(
                tasks >= 1 && tasks <= Tuning.MAX_TASKS,
                "sheets must be between 1 and " + Tuning.MAX_TASKS);
        double cpus = amount(t, "cpus");
        double gpus = amount(t, "gpus");
        double mem = amount(t, "mem_gb");
        List<String> types = t.has("presses") ? t.texts("presses") : null;
        double deadline = t.has("due_s") ? amount(t, "due_s") : Double.NaN;
        return new JobSpec(
                id,
                t.text("queue"),
                t.text("crew"),
                shape,
                priority(t.text("urgency")),
                (int) tasks,
                cpus,
                gpus,
                mem,
                t.text("plate"),
                amount(t, "size_gb"),
                types,
                t.textOr("yard", null),
                t.flag("one_zone"),
                t.flag("scatter"),
                t.flag("loaners"),
                amount(t, "runtime_s"),
                amount(t, "proof_interval_s"),
                amount(t, "proof_s"),
                deadline);
    }

    private static double amount(FieldMap t, String field) throws FieldMap.Missing {
        double v = t.number(field);
        need(
                v >= 0 && v < Double.POSITIVE_INFINITY,
                field + " must be a number that is not negative");
        return v;
    }

    private static void need(boolean ok, String message) throws FieldMap.Missing {
        if (!ok) {
            throw new FieldMap.Missing(message);
        }
    }

    private static Priority priority(String text) throws FieldMap.Missing {
        return switch (text) {
            case "prod" -> Priority.PRODUCTION;
            case "high" -> Priority.HIGH;
            case "standard" -> Priority.NORMAL;
            case "low" -> Priority.LOW;
            default -> throw new FieldMap.Missing("urgency must be prod, high, standard or low");
        };
    }

    private static String text(Priority p) {
        return switch (p) {
            case PRODUCTION -> "prod";
            case HIGH -> "high";
            case NORMAL -> "standard";
            case LOW -> "low";
        };
    }

    /** Encodes a job as users submit it, such that {@link #job} decodes it. */
    public static Map<String, Object> map(JobSpec j) {
        Map<String, Object> m = description(j);
        if (m.remove(KEPT_UP) != null) {
            m.put("shape", SERVICE);
        }
        return m;
    }

    /** Encodes a job as the store keeps it, such that {@link #described} decodes it. */
    public static Map<String, Object> description(JobSpec j) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name_id", j.id());
        m.put("queue", j.jobClass());
        m.put("crew", j.team());
        m.put("shape", SWEEP);
        if (!j.workloadType().runsToCompletion()) {
            m.put(KEPT_UP, true);
        }
        m.put("urgency", text(j.priority()));
        m.put("sheets", (long) j.taskCount());
        m.put("cpus", j.cpus());
        m.put("gpus", j.gpus());
        m.put("mem_gb", j.memGb());
        m.put("plate", j.image());
        m.put("size_gb", j.imageGb());
        if (j.machineTypes() != null) {
            m.put("presses", j.machineTypes());
        }
        if (j.zone() != null) {
            m.put("yard", j.zone());
        }
        m.put("one_zone", j.singleZone());
        m.put("scatter", j.spreadAcrossZones());
        m.put("loaners", j.spotAllowed());
        m.put("runtime_s", j.estimatedRunS());
        m.put("proof_interval_s", j.checkpointIntervalS());
        m.put("proof_s", j.checkpointDurationS());
        if (!Double.isNaN(j.deadlineS())) {
            m.put("due_s", j.deadlineS());
        }
        return m;
    }

    /**
     * A stored specification without the fields that only starting tasks needs. {@link #described}
     * still decodes it, with the job's team and its tasks' resources.
     */
    public static Map<String, Object> resourcesOnly(Map<String, Object> description) {
        Map<String, Object> shorter = new LinkedHashMap<>(description);
        shorter.keySet().retainAll(REQUIRED_FIELDS);
        shorter.put("queue", "");
        shorter.put("plate", "");
        return shorter;
    }
}
