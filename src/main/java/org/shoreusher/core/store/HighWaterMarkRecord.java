package org.shoreusher.core.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreusher.wire.FieldMap;

/**
 * High-water marks of some of a shard's jobs.
 *
 * @param highWaterMarks by job id, the mark: no task of the job with this index or a higher one has
 *     ever been started
 */
public record HighWaterMarkRecord(Map<String, Integer> highWaterMarks) {
    /** Reads the record from its stored fields. */
    public static HighWaterMarkRecord fromMap(Map<String, Object> value) {
        Map<String, Integer> highWaterMarks = new LinkedHashMap<>();
        try {
            FieldMap fields = new FieldMap(value).map("begun");
            for (String jobId : fields.asMap().keySet()) {
                highWaterMarks.put(jobId, (int) fields.integer(jobId));
            }
        } catch (FieldMap.InvalidFieldException invalid) {
            throw new CorruptRecordException("a record of high-water marks", value, invalid);
        }
        return new HighWaterMarkRecord(highWaterMarks);
    }

    /** Returns the stored fields of a record with these marks, by job id. */
    public static Map<String, Object> toMap(Map<String, Integer> highWaterMarks) {
        Map<String, Object> fields = new LinkedHashMap<>();
        highWaterMarks.forEach((jobId, highWaterMark) -> fields.put(jobId, (long) highWaterMark));
        return Map.of("begun", fields);
    }
}
