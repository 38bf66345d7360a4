package org.shoreusher.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.UserFormat;

/** Names and values of the service's keys in the state service. */
final class StoreSchema {
    static final String TERM = "term";
    static final String TYPES = "types";

    /**
     * Stands before the jobs in the order of keys: a view that is read in pages learns of arrivals
     * first, then of what became of them.
     */
    static final String ARRIVED = "arrived/";

    static final String JOB = "job/";
    static final String MACHINE = "machine/";
    static final String PART = "part/";
    static final String NODE = "node/";
    private static final String FENCE = "/fence";

    private StoreSchema() {}

    static String part(int n) {
        return PART + n;
    }

    static String fence(int n) {
        return PART + n + FENCE;
    }

    static boolean isFence(String key) {
        return key.startsWith(PART) && key.endsWith(FENCE);
    }

    static String done(int n, int chunk) {
        return PART + n + "/done/" + chunk;
    }

    static String begun(int n, int chunk) {
        return PART + n + "/begun/" + chunk;
    }

    static String job(String id) {
        return JOB + id;
    }

    /** The key of a record of jobs that were accepted together. */
    static String arrived(String owner, long n) {
        return ARRIVED + owner + "/" + n;
    }

    /**
     * The key of the record that a machine is in, together with those whose names differ in the
     * last signs only.
     */
    static String machine(String id, int valueBytes) {
        return machine(id, valueBytes >= Tuning.WIDE_GROUP_BYTES);
    }

    /** The key of its wide group, of a hundred machines at most, or of its narrow one, of ten. */
    static String machine(String id, boolean wide) {
        int signs = wide ? 2 : 1;
        return MACHINE + id.substring(0, Math.max(0, id.length() - signs));
    }

    /** The key under which a node says which formats it understands. */
    static String node(String host) {
        return NODE + host;
    }

    static String quota(String team) {
        return "quota/" + team;
    }

    /**
     * A part's record. {@code done} holds the finished tasks of its first chunk of jobs.
     *
     * @param standby the process that knows every attempt that may be on a machine; null: none.
     *     Versions before the warm standby drop the field when they take the part
     */
    record PartRecord(
            String owner, long expiryMs, long term, Map<String, Object> done, String standby) {
        static PartRecord read(Map<String, Object> value) {
            try {
                FieldMap t = new FieldMap(value);
                return new PartRecord(
                        t.text("owner"),
                        t.whole("expiry"),
                        t.whole("term"),
                        t.map("done").asMap(),
                        t.textOr("standby", null));
            } catch (FieldMap.Missing e) {
                throw new IllegalStateException(
                        "a part record of this service can't be read: " + e.getMessage());
            }
        }

        Map<String, Object> write() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("owner", owner);
            m.put("expiry", expiryMs);
            m.put("term", term);
            m.put("done", done);
            if (standby != null) {
                m.put("standby", standby);
            }
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
        OPEN,
        DONE,
        CANCELLED
    }

    /**
     * A job's record. A done job's description is dropped; a cancelled one's is kept, because its
     * tasks use their team's limit until they are hunted down, also under the next owner.
     *
     * @param begun 0 for a job whose part's records of marks tell how far it has been begun, see
     *     {@link StartMarks}; in records from before there were such, tasks from this number on had
     *     never been started
     */
    record JobRecord(
            int part,
            JobStatus status,
            int tasks,
            long acceptedMs,
            int begun,
            Map<String, Object> spec) {
        static JobRecord read(Map<String, Object> value) {
            try {
                FieldMap t = new FieldMap(value);
                int tasks = (int) t.whole("tasks");
                // A record from before there were marks: any of its tasks may have been started.
                int begun = t.has("begun") ? (int) t.whole("begun") : tasks;
                return new JobRecord(
                        (int) t.whole("part"),
                        JobStatus.valueOf(t.text("status")),
                        tasks,
                        t.whole("accepted"),
                        begun,
                        t.has("spec") ? t.map("spec").asMap() : null);
            } catch (FieldMap.Missing e) {
                throw new IllegalStateException(
                        "a job record of this service can't be read: " + e.getMessage());
            }
        }

        static JobRecord open(int part, JobSpec spec, long acceptedMs) {
            return new JobRecord(
                    part,
                    JobStatus.OPEN,
                    spec.tasks(),
                    acceptedMs,
                    0,
                    UserFormat.description(spec));
        }

        JobRecord done() {
            return new JobRecord(part, JobStatus.DONE, tasks, acceptedMs, begun, null);
        }

        /**
         * The record of the cancelled job, no longer than a value may be. One that was accepted
         * under larger limits loses those parts of its description by which tasks are started:
         * written in full it would be refused each time, and the job could never be cancelled.
         */
        JobRecord cancelled(int valueBytes) {
            JobRecord full =
                    new JobRecord(part, JobStatus.CANCELLED, tasks, acceptedMs, begun, spec);
            if (spec == null || FieldMap.jsonLength(full.write()) <= valueBytes) {
                return full;
            }
            Map<String, Object> resources = UserFormat.resourcesOnly(spec);
            return new JobRecord(part, JobStatus.CANCELLED, tasks, acceptedMs, begun, resources);
        }

        JobSpec description() {
            try {
                return UserFormat.described(new FieldMap(spec));
            } catch (FieldMap.Missing e) {
                throw new IllegalStateException(
                        "a job description of this service can't be read: " + e.getMessage());
            }
        }

        Map<String, Object> write() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("part", (long) part);
            m.put("status", status.name());
            m.put("tasks", (long) tasks);
            m.put("accepted", acceptedMs);
            m.put("begun", (long) begun);
            if (spec != null) {
                m.put("spec", spec);
            }
            return m;
        }
    }

    /**
     * Finished tasks that would take the part's own record over the value limit, as ranges by job.
     */
    record FinishedRecord(Map<String, Object> ranges) {
        static FinishedRecord read(Map<String, Object> value) {
            try {
                return new FinishedRecord(new FieldMap(value).map("done").asMap());
            } catch (FieldMap.Missing e) {
                throw new IllegalStateException(
                        "a record of finished tasks of this service can't be read: "
                                + e.getMessage());
            }
        }

        Map<String, Object> write() {
            return Map.of("done", ranges);
        }
    }

    /** From which number on no task of a part's jobs has ever been started, by job. */
    record MarkRecord(Map<String, Integer> below) {
        static MarkRecord read(Map<String, Object> value) {
            Map<String, Integer> below = new LinkedHashMap<>();
            try {
                FieldMap t = new FieldMap(value).map("begun");
                for (String id : t.asMap().keySet()) {
                    below.put(id, (int) t.whole(id));
                }
            } catch (FieldMap.Missing e) {
                throw new IllegalStateException(
                        "a record of marks of this service can't be read: " + e.getMessage());
            }
            return new MarkRecord(below);
        }

        static Map<String, Object> write(Map<String, Integer> below) {
            Map<String, Object> marks = new LinkedHashMap<>();
            below.forEach((id, number) -> marks.put(id, (long) number));
            return Map.of("begun", marks);
        }
    }

    /** Jobs that were accepted together, by id; see {@link Arrivals}. */
    record ArrivalRecord(Map<String, JobRecord> jobs) {
        static ArrivalRecord read(Map<String, Object> value) {
            Map<String, JobRecord> jobs = new LinkedHashMap<>();
            try {
                for (String id : new FieldMap(value).map("jobs").asMap().keySet()) {
                    jobs.put(id, JobRecord.read(new FieldMap(value).map("jobs").map(id).asMap()));
                }
            } catch (FieldMap.Missing e) {
                throw new IllegalStateException(
                        "a record of arrivals of this service can't be read: " + e.getMessage());
            }
            return new ArrivalRecord(jobs);
        }

        static Map<String, Object> write(Map<String, Map<String, Object>> jobs) {
            return Map.of("jobs", jobs);
        }
    }

    /** Each part's share of a team's limit. */
    record QuotaRecord(double[] cpus, double[] gpus) {
        static QuotaRecord read(Map<String, Object> value, int parts) {
            return new QuotaRecord(
                    amounts(value.get("cpus"), parts), amounts(value.get("gpus"), parts));
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
    record MachineRecord(
            int part, String type, String zone, boolean spot, long rentedMs, boolean used) {
        MachineRecord asUsed() {
            return new MachineRecord(part, type, zone, spot, rentedMs, true);
        }
    }

    /**
     * The records of neighbouring machines in one value, by name. Machines rented together are
     * named one after the other, so that hundreds of them cost a handful of writes. Types and zones
     * stand once, machines refer to them.
     */
    record MachineGroup(Map<String, MachineRecord> machines) {
        static MachineGroup read(String key, Map<String, Object> value) {
            try {
                FieldMap t = new FieldMap(value);
                List<String> names = t.texts("names");
                Map<String, MachineRecord> machines = new TreeMap<>();
                for (Map.Entry<String, Object> e : t.map("machines").asMap().entrySet()) {
                    List<?> f = (List<?>) e.getValue();
                    machines.put(
                            key.substring(MACHINE.length()) + e.getKey(),
                            new MachineRecord(
                                    (int) whole(f, 0),
                                    names.get((int) whole(f, 1)),
                                    names.get((int) whole(f, 2)),
                                    whole(f, 3) == 1,
                                    whole(f, 4),
                                    whole(f, 5) == 1));
                }
                return new MachineGroup(machines);
            } catch (FieldMap.Missing | ClassCastException | IndexOutOfBoundsException e) {
                throw new IllegalStateException(
                        "a record of machines of this service can't be read: " + e.getMessage());
            }
        }

        private static long whole(List<?> fields, int i) {
            return ((Number) fields.get(i)).longValue();
        }

        /** The value under a key; null, which removes it, if no machine is left. */
        static Map<String, Object> write(String key, Map<String, MachineRecord> machines) {
            if (machines.isEmpty()) {
                return null;
            }
            List<String> names = new ArrayList<>();
            Map<String, Object> lines = new LinkedHashMap<>();
            machines.forEach(
                    (id, m) ->
                            lines.put(
                                    id.substring(key.length() - MACHINE.length()),
                                    List.of(
                                            (long) m.part,
                                            name(names, m.type),
                                            name(names, m.zone),
                                            m.spot ? 1L : 0L,
                                            m.rentedMs,
                                            m.used ? 1L : 0L)));
            return Map.of("names", names, "machines", lines);
        }

        private static long name(List<String> names, String name) {
            if (!names.contains(name)) {
                names.add(name);
            }
            return names.indexOf(name);
        }
    }
}
