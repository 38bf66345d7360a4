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
 * Keeps a durable high-water mark for each job: tasks are started for the first time in the order
 * of their indexes, and none at or above the mark. After a failover no machine can have a task at
 * or above the mark, so the successor starts these tasks without waiting for unresponsive machines.
 * Hundreds of jobs share a record of marks: a mark in each job's own record used most of the twenty
 * writes per second at the time when new machines became available.
 *
 * <p>Invariant: a mark is durable before a task below it is started for the first time. Each write
 * has the shard's fencing precondition, so a write of a previous leader cannot take effect after
 * its successor has read the marks. With several shards, the job's own record must exist as well,
 * and the same transaction creates it if necessary: two nodes may have accepted the job for
 * different shards.
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

    /**
     * The minimum time between two writes in ms, which limits the share of the write rate that
     * marks take.
     */
    private final long writeIntervalMs;

    /** Requested marks that are in no write yet, in the order of their requests. */
    private final Object2IntLinkedOpenHashMap<Job> requestedMarks =
            new Object2IntLinkedOpenHashMap<>();

    private boolean writeInFlight;

    /** The earliest time of the next write; monotonic ms. */
    private long nextWriteMs;

    /** Creates the marks of one shard; {@link #load} reads those in the store. */
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

    /** Reads the marks that previous leaders have written. The open jobs must be loaded before. */
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

    /**
     * Requests a mark for tasks that are to be started soon. Does nothing if the durable mark is as
     * high already.
     */
    public void request(Job job, int highWaterMark) {
        if (highWaterMark > job.highWaterMark()) {
            requestedMarks.put(job, Math.max(highWaterMark, requestedMarks.getInt(job)));
        }
    }

    /**
     * Writes as many of the requested marks as fit into one transaction. Does nothing while a write
     * is in flight, before the next write is due, or if this node is not the leader. Marks whose
     * write is not sent or fails are requested again by the next placement plan.
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
        addRequestedMarks(write);
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

    /**
     * Moves requested marks to a write until it is full; drops those that are not needed or cannot
     * be written.
     */
    private void addRequestedMarks(HighWaterMarkWrite write) {
        ObjectIterator<Object2IntMap.Entry<Job>> iterator =
                requestedMarks.object2IntEntrySet().iterator();
        // A mark may add two values: the job's own record and a record of marks.
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
                    // The job was accepted in a batch under a higher limit and exceeds the limit
                    // for a record of its own. The store would reject every transaction with it,
                    // and all other marks with it.
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
