package org.shoreusher.core.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.JobSpecFormat;

/**
 * A job's record. The description of a completed job is dropped. That of a cancelled job is kept,
 * because its tasks count against their team's quota until they have stopped, even after a
 * failover.
 *
 * @param shardNumber the shard of the job
 * @param status the job's status
 * @param taskCount the number of tasks
 * @param acceptedWallMs when the job was accepted, in wall-clock ms
 * @param highWaterMark 0 for a job whose high-water mark is in a {@link HighWaterMarkRecord}.
 *     Versions without those records stored the mark here: no task with this index or a higher one
 *     had ever been started when the record was written
 * @param specFields the fields of the job's description; null for a completed job
 */
public record JobRecord(
        int shardNumber,
        JobStatus status,
        int taskCount,
        long acceptedWallMs,
        int highWaterMark,
        Map<String, Object> specFields) {
    /** Reads the record from its stored fields. */
    public static JobRecord fromMap(Map<String, Object> value) {
        try {
            FieldMap fields = new FieldMap(value);
            int taskCount = (int) fields.integer("tasks");
            // Versions without high-water marks did not write this field, so any task of the job
            // may have been started.
            int highWaterMark = fields.has("begun") ? (int) fields.integer("begun") : taskCount;
            return new JobRecord(
                    (int) fields.integer("part"),
                    JobStatus.valueOf(fields.text("status")),
                    taskCount,
                    fields.integer("accepted"),
                    highWaterMark,
                    fields.has("spec") ? fields.map("spec").asMap() : null);
        } catch (FieldMap.InvalidFieldException invalid) {
            throw new CorruptRecordException("a job record", value, invalid);
        }
    }

    /**
     * Returns the record of a newly accepted job.
     *
     * @param shardNumber the shard of the job
     * @param spec the description of the job
     * @param acceptedWallMs when the job was accepted, in wall-clock ms
     */
    public static JobRecord open(int shardNumber, JobSpec spec, long acceptedWallMs) {
        return new JobRecord(
                shardNumber,
                JobStatus.OPEN,
                spec.taskCount(),
                acceptedWallMs,
                0,
                JobSpecFormat.writeStoredSpec(spec));
    }

    /** Returns the record of the job after its completion, without the description. */
    public JobRecord asDone() {
        return new JobRecord(
                shardNumber, JobStatus.DONE, taskCount, acceptedWallMs, highWaterMark, null);
    }

    /**
     * Returns the record of the job after its cancellation. If that record would exceed the size
     * limit of values, because the job was accepted under a higher limit, only the resources of the
     * description are kept: otherwise the store would reject the write on every retry, and the job
     * could never be cancelled.
     *
     * @param maxValueBytes the size limit of a value in bytes
     */
    public JobRecord asCancelled(int maxValueBytes) {
        JobRecord full =
                new JobRecord(
                        shardNumber,
                        JobStatus.CANCELLED,
                        taskCount,
                        acceptedWallMs,
                        highWaterMark,
                        specFields);
        if (specFields == null || FieldMap.jsonLength(full.toMap()) <= maxValueBytes) {
            return full;
        }
        Map<String, Object> resources = JobSpecFormat.resourcesOnly(specFields);
        return new JobRecord(
                shardNumber,
                JobStatus.CANCELLED,
                taskCount,
                acceptedWallMs,
                highWaterMark,
                resources);
    }

    /** Parses the job's description. The record must contain one. */
    public JobSpec parseSpec() {
        try {
            return JobSpecFormat.readStoredSpec(new FieldMap(specFields));
        } catch (FieldMap.InvalidFieldException invalid) {
            throw new CorruptRecordException("a job description", specFields, invalid);
        }
    }

    /** Returns the stored fields of the record. */
    public Map<String, Object> toMap() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("part", (long) shardNumber);
        fields.put("status", status.name());
        fields.put("tasks", (long) taskCount);
        fields.put("accepted", acceptedWallMs);
        fields.put("begun", (long) highWaterMark);
        if (specFields != null) {
            fields.put("spec", specFields);
        }
        return fields;
    }
}
