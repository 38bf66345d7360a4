package org.shoreusher.core;

import org.shoreusher.core.gossip.PeerGossip;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.job.TerminalJobCache;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.user.CancellationPropagation;

/** Routes changes of the store cache to the classes that use records of the changed kind. */
final class StoreChangeRouter {
    private final NodeServices services;
    private final Shards shards;
    private final PeerGossip peerGossip;
    private final TerminalJobCache terminalJobs;
    private final CancellationPropagation cancellationPropagation;

    StoreChangeRouter(
            NodeServices services,
            Shards shards,
            PeerGossip peerGossip,
            TerminalJobCache terminalJobs,
            CancellationPropagation cancellationPropagation) {
        this.services = services;
        this.shards = shards;
        this.peerGossip = peerGossip;
        this.terminalJobs = terminalJobs;
        this.cancellationPropagation = cancellationPropagation;
    }

    /**
     * Handles a change of one key.
     *
     * @param key the key
     * @param before the previous entry; null if there was none
     * @param after the new entry; null if the key was removed
     */
    void onChange(String key, StoreCache.Entry before, StoreCache.Entry after) {
        services.context().versionNegotiation().onStoreChange(key);
        if (key.startsWith(StoreSchema.JOB_PREFIX)) {
            if (after != null) {
                onOwnJobRecord(key, after);
            }
        } else if (key.startsWith(StoreSchema.SUBMISSION_BATCH_PREFIX)) {
            submissionBatches().batchChanged(key, after, this::onJobRecord);
        } else if (StoreSchema.isShardKey(key)) {
            if (after != null) {
                onShardRecord(key, before, after);
            }
        } else if (key.startsWith(StoreSchema.MACHINE_PREFIX)) {
            services.machineIndex().updateGroup(key, after, shards::onMachineRecordChange);
        } else if (key.equals(StoreSchema.MACHINE_TYPES_KEY) && after != null) {
            services.typeCatalog().loadFromStore(after.value());
        }
    }

    private SubmissionBatches submissionBatches() {
        return services.submissionBatches();
    }

    /** Handles the record of a job under the job's own key, not in a submission batch. */
    private void onOwnJobRecord(String key, StoreCache.Entry entry) {
        String jobId = key.substring(StoreSchema.JOB_PREFIX.length());
        submissionBatches().ownRecordCreated(jobId);
        onJobRecord(jobId, JobRecord.fromMap(entry.value()));
    }

    private void onJobRecord(String jobId, JobRecord record) {
        shards.onJobRecordChange(jobId, record);
        if (record.status() == JobStatus.DONE) {
            terminalJobs.jobCompleted(jobId, record);
        } else if (record.status() == JobStatus.CANCELLED) {
            terminalJobs.jobCancelled(jobId);
            cancellationPropagation.cancellationObserved(jobId);
        }
    }

    private void onShardRecord(String key, StoreCache.Entry before, StoreCache.Entry after) {
        int shardNumber = StoreSchema.shardNumber(key);
        ShardRecord record = ShardRecord.fromMap(after.value());
        if (before == null
                || !ShardRecord.fromMap(before.value()).leader().equals(record.leader())) {
            peerGossip.leaderChanged(shardNumber);
        }
        shards.onShardRecordChange(shardNumber, record);
    }
}
