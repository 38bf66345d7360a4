package org.shoreusher.core;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.wire.Tree;
import org.shoreusher.wire.UserFormat;

/** Names and values of the service's keys in the state service. */
final class Keys {
    static final String TERM = "term";
    static final String TYPES = "types";
    static final String JOB = "job/";
    static final String MACHINE = "machine/";
    static final String PART = "part/";

    private Keys() {
    }

    static String part(int n) {
        return PART + n;
    }

    static String fence(int n) {
        return PART + n + "/fence";
    }

    static String done(int n, int chunk) {
        return PART + n + "/done/" + chunk;
    }

    static String job(String id) {
        return JOB + id;
    }

    static String open(int n, String id) {
        return openOf(n) + id;
    }

    static String openOf(int n) {
        return "open/" + n + "/";
    }

    static String machine(String id) {
        return MACHINE + id;
    }

    static String quota(String team) {
        return "quota/" + team;
    }

    /** A part's record. {@code done} holds the finished tasks of its first chunk of jobs. */
    record PartRecord(String owner, long expiryMs, long term, Map<String, Object> done) {
        static PartRecord read(Map<String, Object> value) {
            try {
                Tree t = new Tree(value);
                return new PartRecord(t.text("owner"), t.whole("expiry"), t.whole("term"), t.map("done").asMap());
            } catch (Tree.Missing e) {
                throw new IllegalStateException("a part record of this service can't be read: " + e.getMessage());
            }
        }

        Map<String, Object> write() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("owner", owner);
            m.put("expiry", expiryMs);
            m.put("term", term);
            m.put("done", done);
            return m;
        }

        /** The node's name in the owner. */
        String host() {
            int slash = owner.lastIndexOf('/');
            return slash < 0 ? owner : owner.substring(0, slash);
        }
    }

    /** How far a job has come, for good. */
    enum JobStatus {
        OPEN, DONE, CANCELLED
    }

    /**
     * A job's record. A done job's description is dropped; a cancelled one's is kept, because its
     * tasks use their team's limit until they are hunted down, also under the next owner.
     */
    record JobRecord(int part, JobStatus status, int tasks, long acceptedMs, Map<String, Object> spec) {
        static JobRecord read(Map<String, Object> value) {
            try {
                Tree t = new Tree(value);
                return new JobRecord((int) t.whole("part"), JobStatus.valueOf(t.text("status")), (int) t.whole("tasks"),
                        t.whole("accepted"), t.has("spec") ? t.map("spec").asMap() : null);
            } catch (Tree.Missing e) {
                throw new IllegalStateException("a job record of this service can't be read: " + e.getMessage());
            }
        }

        static JobRecord open(int part, JobSpec spec, long acceptedMs) {
            return new JobRecord(part, JobStatus.OPEN, spec.tasks(), acceptedMs, UserFormat.map(spec));
        }

        JobRecord ended(JobStatus status) {
            return new JobRecord(part, status, tasks, acceptedMs, status == JobStatus.DONE ? null : spec);
        }

        JobSpec description() {
            try {
                return UserFormat.job(new Tree(spec));
            } catch (Tree.Missing e) {
                throw new IllegalStateException("a job description of this service can't be read: " + e.getMessage());
            }
        }

        Map<String, Object> write() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("part", (long) part);
            m.put("status", status.name());
            m.put("tasks", (long) tasks);
            m.put("accepted", acceptedMs);
            if (spec != null) {
                m.put("spec", spec);
            }
            return m;
        }
    }

    /** Each part's share of a team's limit. */
    record QuotaRecord(double[] cpus, double[] gpus) {
        static QuotaRecord read(Map<String, Object> value, int parts) {
            return new QuotaRecord(amounts(value.get("cpus"), parts), amounts(value.get("gpus"), parts));
        }

        /** Shares for another number of parts are worth nothing, which is safe. */
        private static double[] amounts(Object list, int parts) {
            double[] out = new double[parts];
            if (list instanceof List<?> l && l.size() == parts) {
                for (int i = 0; i < parts; i++) {
                    out[i] = ((Number) l.get(i)).doubleValue();
                }
            }
            return out;
        }

        /** Whole and even shares; the first part gets what is left over. */
        static QuotaRecord split(double cpus, double gpus, int parts) {
            return new QuotaRecord(split(cpus, parts), split(gpus, parts));
        }

        private static double[] split(double amount, int parts) {
            double[] out = new double[parts];
            Arrays.fill(out, Math.floor(amount / parts));
            out[0] = amount - out[parts - 1] * (parts - 1);
            return out;
        }

        Map<String, Object> write() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("cpus", Arrays.stream(cpus).boxed().toList());
            m.put("gpus", Arrays.stream(gpus).boxed().toList());
            return m;
        }
    }

    /** A machine's record: its part; {@code used} is written before the first start. */
    record MachineRecord(int part, String type, String zone, boolean spot, long rentedMs, boolean used) {
        static MachineRecord read(Map<String, Object> value) {
            try {
                Tree t = new Tree(value);
                return new MachineRecord((int) t.whole("part"), t.text("type"), t.text("zone"), t.flag("spot"), t.whole("rented"), t.flag("used"));
            } catch (Tree.Missing e) {
                throw new IllegalStateException("a machine record of this service can't be read: " + e.getMessage());
            }
        }

        Map<String, Object> write() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("part", (long) part);
            m.put("type", type);
            m.put("zone", zone);
            m.put("spot", spot);
            m.put("rented", rentedMs);
            m.put("used", used);
            return m;
        }
    }
}
