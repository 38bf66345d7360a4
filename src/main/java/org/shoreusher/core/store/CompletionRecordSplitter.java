package org.shoreusher.core.store;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.shoreusher.settings.Settings;

/**
 * Splits the completed tasks of a record into records within the size limit. A record may be larger
 * than this process may write if it was written by a previous version or under a higher limit.
 */
public final class CompletionRecordSplitter {
    private final int maxRecordBytes;
    private final List<Map<String, Object>> records = new ArrayList<>();
    private Map<String, Object> current = new LinkedHashMap<>();
    private int currentBytes;

    private CompletionRecordSplitter(int maxRecordBytes) {
        this.maxRecordBytes = maxRecordBytes;
    }

    /**
     * Splits a record.
     *
     * @param rangesByJob the record's ranges of completed tasks, by job id
     * @param settings the deployment's settings, which give the size limit
     * @param storedElsewhere returns the completed tasks of a job that other records already
     *     contain; they are left out
     * @return the ranges of each new record, by job id
     */
    public static List<Map<String, Object>> split(
            Map<String, Object> rangesByJob,
            Settings settings,
            Function<String, BitSet> storedElsewhere) {
        CompletionRecordSplitter splitter =
                new CompletionRecordSplitter(CompletionRecord.maxBytes(settings));
        rangesByJob.forEach(
                (jobId, ranges) -> {
                    BitSet remaining = TaskRanges.parse((String) ranges);
                    remaining.andNot(storedElsewhere.apply(jobId));
                    splitter.addJob(jobId, remaining);
                });
        return splitter.finish();
    }

    private void addJob(String jobId, BitSet completedTasks) {
        int overheadBytes = CompletionRecord.overheadBytes(jobId);
        int tasksPerPiece = CompletionRecord.tasksThatFit(jobId, maxRecordBytes);
        for (int from = completedTasks.nextSetBit(0);
                from >= 0;
                from = completedTasks.nextSetBit(from + tasksPerPiece)) {
            BitSet piece = new BitSet();
            piece.set(from, from + tasksPerPiece);
            piece.and(completedTasks);
            addPiece(jobId, TaskRanges.format(piece), overheadBytes);
        }
    }

    private void addPiece(String jobId, String ranges, int overheadBytes) {
        int pieceBytes = overheadBytes + ranges.length();
        // A record has one entry for each job, so the next piece of a job needs another record.
        if (currentBytes + pieceBytes > maxRecordBytes || current.containsKey(jobId)) {
            records.add(current);
            current = new LinkedHashMap<>();
            currentBytes = 0;
        }
        current.put(jobId, ranges);
        currentBytes += pieceBytes;
    }

    private List<Map<String, Object>> finish() {
        if (!current.isEmpty()) {
            records.add(current);
        }
        return records;
    }
}
