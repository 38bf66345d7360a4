package org.shoreusher.core.job;

import it.unimi.dsi.fastutil.objects.Object2IntLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.ObjectIterator;
import java.util.Map;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.Effect.StoreOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * Keeps a durable high-water mark for each job: tasks are started in the order of their indexes,
 * and none at or above the mark. So after a failover the successor knows that those tasks are on no
 * machine, and can start them without waiting for unresponsive machines. The marks of some hundred
 * jobs share a record. One mark in each job's own record used most of the twenty writes a second
 * just when machines came up.
 *
 * <p>Invariant: a mark is durable before a task below it is started for the first time. Each write
 * has the shard's fencing token as a precondition, so a write of a previous leader cannot take
 * effect after its successor has read the marks. With several shards, the job's own record must
 * exist as well: two nodes may have accepted the job for different shards.
 */
public final class HighWaterMarks {
    private final int shardCount;
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final SubmissionBatches submissionBatches;
    private final ShardLeadership leadership;
    private final Map<String, Job> jobs;
    private final HighWaterMarkRecords records;

    /** The least time between two writes, in ms; it bounds the share of the write rate. */
    private final long writeIntervalMs;

    /** Marks to be written, in the order in which they were requested. */
    private final Object2IntLinkedOpenHashMap<Job> requestedMarks =
            new Object2IntLinkedOpenHashMap<>();

    private boolean writeInFlight;

    /** When the next write may be sent; monotonic ms. */
    private long nextWriteMs;

    /** The marks of one shard; see {@link #load}. */
    public HighWaterMarks(
            int shardNumber,
            int shardCount,
            NodeContext context,
            SubmissionBatches submissionBatches,
            ShardLeadership leadership,
            Map<String, Job> jobs) {
        this.shardCount = shardCount;
        settings = context.settings();
        outbox = context.outbox();
        storeCache = context.storeCache();
        this.submissionBatches = submissionBatches;
        this.leadership = leadership;
        this.jobs = jobs;
        records = new HighWaterMarkRecords(shardNumber, settings, storeCache, jobs);
        writeIntervalMs =
                (long)
                        (1000
                                / (Outbox.leaderWritesPerS(settings, shardCount)
                                        * JobConstants.HIGH_WATER_MARK_WRITE_SHARE));
    }

    /** Reads the marks that previous leaders have written. */
    public void load() {
        for (int recordIndex = 0; records.exists(recordIndex); recordIndex++) {
            for (Map.Entry<String, Integer> mark : records.marks(recordIndex).entrySet()) {
                Job job = jobs.get(mark.getKey());
                if (job != null) {
                    job.setHighWaterMarkRecordIndex(recordIndex);
                    job.raiseHighWaterMark(mark.getValue());
                }
            }
        }
    }

    /** Requests a mark for tasks that are to be started soon; one that is too low is ignored. */
    public void request(Job job, int highWaterMark) {
        if (highWaterMark > job.highWaterMark()) {
            requestedMarks.put(job, Math.max(highWaterMark, requestedMarks.getInt(job)));
        }
    }

    /**
     * Writes the requested marks, as many as one transaction takes. What is left out for another
     * reason is requested again by the next placement plan. Does nothing while a write is in
     * flight.
     */
    public void writeRequestedMarks() {
        if (writeInFlight
                || requestedMarks.isEmpty()
                || !leadership.isLeader()
                || outbox.now().monotonicMs() < nextWriteMs) {
            return;
        }
        HighWaterMarkWrite write =
                new HighWaterMarkWrite(records, leadership.fencingPrecondition());
        takeRequestedMarks(write);
        if (write.isEmpty()) {
            return;
        }
        StoreOperation.CompareAndSwap operation = write.toOperation(storeCache);
        writeInFlight =
                outbox.callStore(
                        operation,
                        reply -> {
                            writeInFlight = false;
                            if (reply.status() == ReplyStatus.OK && !leadership.isLost()) {
                                storeCache.applyOwnWrites(reply, operation.writes());
                                write.applyDurableMarks();
                            }
                        });
        nextWriteMs = writeInFlight ? outbox.now().monotonicMs() + writeIntervalMs : nextWriteMs;
    }

    /** Moves requested marks into a write until it is full. */
    private void takeRequestedMarks(HighWaterMarkWrite write) {
        ObjectIterator<Object2IntMap.Entry<Job>> iterator =
                requestedMarks.object2IntEntrySet().iterator();
        // A mark may need a value for the job's own record and one for a new record of marks.
        while (iterator.hasNext() && write.size() + 2 <= settings.maxTransactionWrites()) {
            Object2IntMap.Entry<Job> request = iterator.next();
            Job job = request.getKey();
            int requestedMark = request.getIntValue();
            iterator.remove();
            JobRecord record = submissionBatches.jobRecord(job.id());
            if (job.isClosed() || record == null || requestedMark <= job.highWaterMark()) {
                continue;
            }
            if (shardCount > 1) {
                if (!fitsValueLimit(record)) {
                    // The job was accepted in a batch under a higher limit and does not fit into a
                    // record of its own. Here it would block all other marks for good.
                    continue;
                }
                if (storeCache.get(StoreSchema.jobKey(job.id())) == null) {
                    write.createJobRecord(job.id(), record);
                }
            }
            write.addMark(job, requestedMark);
        }
    }

    private boolean fitsValueLimit(JobRecord record) {
        return FieldMap.jsonLength(record.toMap()) <= settings.maxValueBytes();
    }
}
