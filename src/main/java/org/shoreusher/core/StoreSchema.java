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

/**
 * The keys and values of this service in the key-value store. Records convert themselves to and
 * from the store's generic fields.
 */
final class StoreSchema {
    /** The key of the term counter, which every change of a leader increments. */
    static final String TERM = "term";

    /** The key of the last known machine types. */
    static final String TYPES = "types";

    /**
     * The prefix of the records of jobs that were accepted together. It sorts before the prefix of
     * jobs: a cache that is loaded page by page then learns of submissions first, and of their
     * jobs' progress afterwards.
     */
    static final String ARRIVED = "arrived/";

    /** The prefix of jobs' records. */
    static final String JOB = "job/";

    /** The prefix of the records of machine groups. */
    static final String MACHINE = "machine/";

    /** The prefix of all keys of a shard. */
    static final String PART = "part/";

    /** The prefix of the keys under which nodes record the formats that they support. */
    static final String NODE = "node/";

    private static final String FENCE = "/fence";

    private StoreSchema() {}

    /** The key of a shard's record. */
    static String part(int n) {
        return PART + n;
    }

    /**
     * The fencing key of a shard. It is written only when the leader changes, and its version is a
     * precondition of all writes for the shard.
     */
    static String fence(int n) {
        return PART + n + FENCE;
    }

    /** Returns whether a key is the fencing key of some shard. */
    static boolean isFence(String key) {
        return key.startsWith(PART) && key.endsWith(FENCE);
    }

    /** The key of an overflow record of completed tasks. */
    static String done(int n, int chunk) {
        return PART + n + "/done/" + chunk;
    }

    /** The key of a record of high-water marks. */
    static String begun(int n, int chunk) {
        return PART + n + "/begun/" + chunk;
    }

    /** The key of a job's own record. */
    static String job(String id) {
        return JOB + id;
    }

    /**
     * The key of a record of jobs that were accepted together.
     *
     * @param owner the name of the accepting process
     * @param n counts the records of that process
     */
    static String arrived(String owner, long n) {
        return ARRIVED + owner + "/" + n;
    }

    /**
     * The key of the record that contains a machine, together with the machines whose names differ
     * in the last characters only.
     *
     * @param id the machine's id
     * @param valueBytes the size limit of values in the store, which decides between wide and
     *     narrow groups
     */
    static String machine(String id, int valueBytes) {
        return machine(id, valueBytes >= Tuning.WIDE_GROUP_BYTES);
    }

    /**
     * The key of the group that contains a machine.
     *
     * @param id the machine's id
     * @param wide whether the wide group of up to a hundred machines is meant, or the narrow one of
     *     up to ten
     */
    static String machine(String id, boolean wide) {
        int signs = wide ? 2 : 1;
        return MACHINE + id.substring(0, Math.max(0, id.length() - signs));
    }

    /** The key under which a node records the formats that it supports. */
    static String node(String host) {
        return NODE + host;
    }

    /** The key of a team's quota shares. */
    static String quota(String team) {
        return "quota/" + team;
    }

    /**
     * A shard's own record.
     *
     * @param owner the name of the leading process, HOST/SUFFIX
     * @param expiryMs when the leader's lease expires, in wall-clock ms
     * @param term the leader's term
     * @param done completed tasks of the first chunk of jobs, as ranges by job
     * @param standby the name of the process that knows every attempt that may be on a machine;
     *     null: none. Versions from before the standby replication drop this field when they
     *     acquire the shard
     */
    record PartRecord(
            String owner, long expiryMs, long term, Map<String, Object> done, String standby) {
        /** Reads the record from its stored fields. */
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

        /** Returns the stored fields of the record. */
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

        /** Returns the leader's host. */
        String host() {
            int slash = owner.lastIndexOf('/');
            return slash < 0 ? owner : owner.substring(0, slash);
        }
    }

    /** The durable status of a job. */
    enum JobStatus {
        OPEN,
        DONE,
        CANCELLED
    }

    /**
     * A job's record. The description of a completed job is dropped. That of a cancelled job is
     * kept, because its tasks count against their team's quota until they have stopped, also under
     * the next leader.
     *
     * @param part the shard of the job
     * @param status the durable status
     * @param tasks the number of tasks
     * @param acceptedMs when the job was accepted, in wall-clock ms
     * @param begun 0 for a job whose high-water mark is in the shard's records of marks, see {@link
     *     StartMarks}. In records from before there were such, no task from this number on had ever
     *     been started
     * @param spec the fields of the job's description; null for a completed job
     */
    record JobRecord(
            int part,
            JobStatus status,
            int tasks,
            long acceptedMs,
            int begun,
            Map<String, Object> spec) {
        /** Reads the record from its stored fields. */
        static JobRecord read(Map<String, Object> value) {
            try {
                FieldMap t = new FieldMap(value);
                int tasks = (int) t.whole("tasks");
                // A record from before there were high-water marks: any of its tasks may have been
                // started.
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

        /** Returns the record of a newly accepted job; the time is in wall-clock ms. */
        static JobRecord open(int part, JobSpec spec, long acceptedMs) {
            return new JobRecord(
                    part,
                    JobStatus.OPEN,
                    spec.tasks(),
                    acceptedMs,
                    0,
                    UserFormat.description(spec));
        }

        /** Returns the record of the job once it is completed. */
        JobRecord done() {
            return new JobRecord(part, JobStatus.DONE, tasks, acceptedMs, begun, null);
        }

        /**
         * Returns the record of the job once it is cancelled, within the size limit of values. A
         * job that was accepted under a larger limit loses the fields of its description that are
         * needed to start tasks: otherwise the store would refuse the write each time, and the job
         * could never be cancelled.
         *
         * @param valueBytes the size limit of a value in bytes
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

        /** Parses the job's description; the record must have one. */
        JobSpec description() {
            try {
                return UserFormat.described(new FieldMap(spec));
            } catch (FieldMap.Missing e) {
                throw new IllegalStateException(
                        "a job description of this service can't be read: " + e.getMessage());
            }
        }

        /** Returns the stored fields of the record. */
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
     * A completion record: completed tasks that would make the shard's own record exceed the size
     * limit of values.
     *
     * @param ranges completed tasks as ranges by job
     */
    record FinishedRecord(Map<String, Object> ranges) {
        /** Reads the record from its stored fields. */
        static FinishedRecord read(Map<String, Object> value) {
            try {
                return new FinishedRecord(new FieldMap(value).map("done").asMap());
            } catch (FieldMap.Missing e) {
                throw new IllegalStateException(
                        "a record of finished tasks of this service can't be read: "
                                + e.getMessage());
            }
        }

        /** Returns the stored fields of the record. */
        Map<String, Object> write() {
            return Map.of("done", ranges);
        }
    }

    /**
     * High-water marks of a shard's jobs.
     *
     * @param below by job, the task number from which on no task has ever been started
     */
    record MarkRecord(Map<String, Integer> below) {
        /** Reads the record from its stored fields. */
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

        /** Returns the stored fields of a record of these marks. */
        static Map<String, Object> write(Map<String, Integer> below) {
            Map<String, Object> marks = new LinkedHashMap<>();
            below.forEach((id, number) -> marks.put(id, (long) number));
            return Map.of("begun", marks);
        }
    }

    /**
     * Jobs that were accepted together; see {@link Arrivals}.
     *
     * @param jobs the records of the jobs, by id
     */
    record ArrivalRecord(Map<String, JobRecord> jobs) {
        /** Reads the record from its stored fields. */
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

        /**
         * Returns the stored fields of a record of these jobs, which are already in stored form.
         */
        static Map<String, Object> write(Map<String, Map<String, Object>> jobs) {
            return Map.of("jobs", jobs);
        }
    }

    /**
     * Each shard's share of a team's quota.
     *
     * @param cpus the CPUs of each shard
     * @param gpus the GPUs of each shard
     */
    record QuotaRecord(double[] cpus, double[] gpus) {
        /**
         * Reads the record from its stored fields.
         *
         * @param value the stored fields
         * @param parts the number of shards
         */
        static QuotaRecord read(Map<String, Object> value, int parts) {
            return new QuotaRecord(
                    amounts(value.get("cpus"), parts), amounts(value.get("gpus"), parts));
        }

        /**
         * Reads the shares of one resource. Shares for another number of shards are read as zeros,
         * which is safe.
         */
        private static double[] amounts(Object list, int parts) {
            double[] out = new double[parts];
            if (list instanceof List<?> l && l.size() == parts) {
                for (int i = 0; i < parts; i++) {
                    out[i] = ((Number) l.get(i)).doubleValue();
                }
            }
            return out;
        }

        /** Returns equal shares in whole units; the first shard also gets the remainder. */
        static QuotaRecord split(double cpus, double gpus, int parts) {
            return new QuotaRecord(split(cpus, parts), split(gpus, parts));
        }

        private static double[] split(double amount, int parts) {
            double[] out = new double[parts];
            Arrays.fill(out, Math.floor(amount / parts));
            out[0] = amount - out[parts - 1] * (parts - 1);
            return out;
        }

        /** Returns the stored fields of the record. */
        Map<String, Object> write() {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("cpus", Arrays.stream(cpus).boxed().toList());
            m.put("gpus", Arrays.stream(gpus).boxed().toList());
            return m;
        }
    }

    /**
     * A machine's record, stored in a {@link MachineGroup}.
     *
     * @param part the shard of the machine
     * @param type the name of its machine type
     * @param zone its zone
     * @param spot whether it is a spot machine
     * @param rentedMs when it was provisioned, in wall-clock ms
     * @param used whether tasks may have been started on it; written before the first start
     */
    record MachineRecord(
            int part, String type, String zone, boolean spot, long rentedMs, boolean used) {
        /** Returns the record with the mark that tasks may have been started on the machine. */
        MachineRecord asUsed() {
            return new MachineRecord(part, type, zone, spot, rentedMs, true);
        }
    }

    /**
     * The records of machines with neighbouring names in one value. Machines that are provisioned
     * together are named consecutively, so that hundreds of them cost only a few writes. Machine
     * types and zones are stored once and referred to by index.
     *
     * @param machines the records by machine id
     */
    record MachineGroup(Map<String, MachineRecord> machines) {
        /**
         * Reads the group from its stored fields.
         *
         * @param key the key of the group, from which the machine ids are completed
         * @param value the stored fields
         */
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

        /**
         * Returns the stored fields of a group of these machines.
         *
         * @param key the key of the group
         * @param machines the records by machine id
         * @return the fields; null, which removes the key, if there are no machines
         */
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
