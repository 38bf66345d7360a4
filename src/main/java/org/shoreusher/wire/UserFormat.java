package org.shoreusher.wire;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpec.Priority;
import org.shoreusher.core.JobSpec.Shape;
import org.shoreusher.settings.Tuning;

/** Jobs on the wire, and their descriptions in the state service, which are nearly the same. */
public final class UserFormat {
    private static final String SWEEP = "sweep";
    private static final String SERVICE = "service";

    /**
     * In the state service only: a service is described as a sweep with this mark, since versions
     * from before there were services can't read another shape.
     */
    private static final String KEPT_UP = "kept_up";

    /** The fields without which a description can't be read. */
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

    /** Reads a job that a user submits; {@link FieldMap.Missing} says what is wrong with it. */
    public static JobSpec job(FieldMap t) throws FieldMap.Missing {
        String shape = t.text("shape");
        // Gangs and other shapes will get their own reading here; none is specified today.
        need(shape.equals(SWEEP) || shape.equals(SERVICE), "shape must be sweep or service");
        return job(t, shape.equals(SWEEP) ? Shape.BATCH : Shape.SERVICE);
    }

    /** Reads a job's description in the state service, as {@link #description} writes it. */
    public static JobSpec described(FieldMap t) throws FieldMap.Missing {
        return job(t, t.flagOr(KEPT_UP, false) ? Shape.SERVICE : Shape.BATCH);
    }

    private static JobSpec job(FieldMap t, Shape shape) throws FieldMap.Missing {
        String id = t.text("name_id");
        need(JobSpec.isId(id), "name_id must look like wk-000412");
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

    /** The job as its user submits it, such that {@link #job} reads it back. */
    public static Map<String, Object> map(JobSpec j) {
        Map<String, Object> m = description(j);
        if (m.remove(KEPT_UP) != null) {
            m.put("shape", SERVICE);
        }
        return m;
    }

    /** The job as the state service has it, such that {@link #described} reads it back. */
    public static Map<String, Object> description(JobSpec j) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("name_id", j.id());
        m.put("queue", j.jobClass());
        m.put("crew", j.team());
        m.put("shape", SWEEP);
        if (!j.shape().ends()) {
            m.put(KEPT_UP, true);
        }
        m.put("urgency", text(j.priority()));
        m.put("sheets", (long) j.tasks());
        m.put("cpus", j.cpus());
        m.put("gpus", j.gpus());
        m.put("mem_gb", j.memGb());
        m.put("plate", j.image());
        m.put("size_gb", j.imageGb());
        if (j.types() != null) {
            m.put("presses", j.types());
        }
        if (j.zone() != null) {
            m.put("yard", j.zone());
        }
        m.put("one_zone", j.oneZone());
        m.put("scatter", j.spread());
        m.put("loaners", j.spot());
        m.put("runtime_s", j.estimateS());
        m.put("proof_interval_s", j.checkpointS());
        m.put("proof_s", j.saveS());
        if (!Double.isNaN(j.deadlineS())) {
            m.put("due_s", j.deadlineS());
        }
        return m;
    }

    /**
     * A description in the state service without what only starts need, such that {@link
     * #described} still reads it: team and resources of the tasks are those of the job.
     */
    public static Map<String, Object> resourcesOnly(Map<String, Object> description) {
        Map<String, Object> shorter = new LinkedHashMap<>(description);
        shorter.keySet().retainAll(REQUIRED_FIELDS);
        shorter.put("queue", "");
        shorter.put("plate", "");
        return shorter;
    }
}
