package org.shoreusher.core.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreusher.wire.FieldMap;

/**
 * A submission batch: the records of jobs that were accepted together, until each job has a record
 * of its own.
 *
 * @param jobs the records of the jobs, by id
 */
public record SubmissionBatchRecord(Map<String, JobRecord> jobs) {
    /** Reads the record from its stored fields. */
    public static SubmissionBatchRecord fromMap(Map<String, Object> value) {
        Map<String, JobRecord> jobs = new LinkedHashMap<>();
        try {
            for (String jobId : new FieldMap(value).map("jobs").asMap().keySet()) {
                jobs.put(
                        jobId,
                        JobRecord.fromMap(new FieldMap(value).map("jobs").map(jobId).asMap()));
            }
        } catch (FieldMap.InvalidFieldException invalid) {
            throw new CorruptRecordException("a submission batch", value, invalid);
        }
        return new SubmissionBatchRecord(jobs);
    }

    /**
     * Returns the stored fields of a batch.
     *
     * @param jobs the stored fields of the jobs' records, by job id
     */
    public static Map<String, Object> toMap(Map<String, Map<String, Object>> jobs) {
        return Map.of("jobs", jobs);
    }
}
