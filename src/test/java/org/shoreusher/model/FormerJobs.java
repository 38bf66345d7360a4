package org.shoreusher.model;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import org.shoreusher.core.JobSpec;
import org.shoreusher.core.JobSpecBuilder;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.UserFormat;

/**
 * The job records that a node of the version before services writes: it accepts, completes and
 * cancels jobs.
 */
final class FormerJobs {
    private final World world;
    private final int valueBytes;
    private final FormerOwner node;
    private final FormerStore store;
    private int named;

    FormerJobs(World world, int valueBytes, FormerOwner node) {
        this.world = world;
        this.valueBytes = valueBytes;
        this.node = node;
        store = new FormerStore(world.state);
    }

    /** One job gets a record of its own; several jobs of one batch share a record. */
    void accept(int count) {
        Map<String, Long> guards = new LinkedHashMap<>();
        Map<String, Object> records = new LinkedHashMap<>();
        List<UserModel.Wish> wishes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            JobSpec spec = job(String.format("wk-%06d", 800_000 + named++), count == 1);
            Map<String, Object> record = new LinkedHashMap<>();
            record.put("part", 0L);
            record.put("status", "OPEN");
            record.put("tasks", (long) spec.taskCount());
            record.put("accepted", FormerOwner.WALL_MS + world.now);
            record.put("begun", 0L);
            record.put("spec", UserFormat.writeDescription(spec));
            guards.put("job/" + spec.id(), 0L);
            records.put(spec.id(), record);
            wishes.add(new UserModel.Wish(spec, false, 2_000));
            // The response may be lost: then the job exists, and its user does not know.
            world.users.wishes.put(spec.id(), wishes.get(i));
        }
        node.send(
                guards,
                Map.of(acceptKey(count, records), acceptValue(count, records)),
                status -> {
                    if (status == 200) {
                        wishes.forEach(world.users::acceptedElsewhere);
                    }
                });
    }

    private String acceptKey(int count, Map<String, Object> records) {
        return count == 1
                ? "job/" + records.keySet().iterator().next()
                : "arrived/" + node.owner() + "/" + named;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> acceptValue(int count, Map<String, Object> records) {
        return count == 1
                ? (Map<String, Object>) records.values().iterator().next()
                : Map.of("jobs", records);
    }

    /** Some jobs have descriptions that are longer than a value may be after the limits drop. */
    private JobSpec job(String id, boolean alone) {
        int types = alone && world.random.nextInt(3) == 0 ? 400 : 1;
        return new JobSpecBuilder(id)
                .team("team-" + world.random.nextInt(2))
                .priority(JobSpec.Priority.values()[1 + world.random.nextInt(3)])
                .tasks(1 + world.random.nextInt(alone && types == 1 ? 120 : 6))
                .types(Collections.nCopies(types, CloudModel.TYPE))
                .spread(world.random.nextInt(4) == 0)
                .build();
    }

    /** Jobs with all tasks completed get their terminal state. */
    void finish(long fence) {
        Map<String, BitSet> finished = store.finished();
        store.jobs()
                .forEach(
                        (id, job) -> {
                            if (job.open()
                                    && finished.containsKey(id)
                                    && finished.get(id).cardinality() == job.tasks()) {
                                end(fence, id, job.tasks(), "DONE", null, status -> {});
                            }
                        });
    }

    /** A user cancels a job that this node accepted. */
    void cancel(String id) {
        UserModel.Wish wish = id == null ? null : world.users.wishes.get(id);
        if (wish == null || !wish.accepted || wish.cancels || world.random.nextBoolean()) {
            return;
        }
        wish.cancelAsked = true;
        end(
                0,
                id,
                wish.spec.taskCount(),
                "CANCELLED",
                UserFormat.writeDescription(wish.spec),
                status -> {
                    if (status == 200 && !wish.doneTold) {
                        wish.cancelTold = true;
                        wish.cancelToldAt = world.now;
                    }
                });
    }

    private void end(
            long fence,
            String id,
            int tasks,
            String status,
            Map<String, Object> spec,
            IntConsumer then) {
        Map<String, Object> record = new LinkedHashMap<>();
        record.put("part", 0L);
        record.put("status", status);
        record.put("tasks", (long) tasks);
        record.put("accepted", FormerOwner.WALL_MS + world.now);
        record.put("begun", 0L);
        if (spec != null) {
            record.put("spec", spec);
        }
        String key = "job/" + id;
        Map<String, Long> guards = new LinkedHashMap<>();
        guards.put(key, world.state.version(key));
        if (status.equals("DONE")) {
            guards.put("part/0/fence", fence);
        }
        if (FieldMap.jsonLength(record) <= valueBytes) {
            node.send(guards, Map.of(key, record), then);
        }
    }
}
