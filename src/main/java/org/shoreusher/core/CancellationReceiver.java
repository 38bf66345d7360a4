package org.shoreusher.core;

import java.util.List;
import java.util.stream.IntStream;
import org.shoreusher.core.message.CancellationMessage;
import org.shoreusher.core.message.CancellationMessage.CancellationAcknowledgement;
import org.shoreusher.core.message.CancellationMessage.CancellationNotice;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.CorruptRecordException;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.user.CancellationPropagation;

/** Handles the messages of other nodes about cancellations. */
final class CancellationReceiver {
    private final StoreCache storeCache;
    private final Outbox outbox;
    private final Shards shards;
    private final CancellationPropagation propagation;

    CancellationReceiver(
            StoreCache storeCache,
            Outbox outbox,
            Shards shards,
            CancellationPropagation propagation) {
        this.storeCache = storeCache;
        this.outbox = outbox;
        this.shards = shards;
        this.propagation = propagation;
    }

    void receive(CancellationMessage message) {
        if (message instanceof CancellationNotice notice) {
            receiveNotice(notice);
        } else if (message instanceof CancellationAcknowledgement acknowledgement) {
            propagation.acknowledged(acknowledgement);
        }
    }

    /**
     * Applies the cancellation to the store cache, which closes the job, and acknowledges it. The
     * sender had read it before it sent the notice, so the shards whose leases are valid now were
     * led after the store contained it.
     */
    private void receiveNotice(CancellationNotice notice) {
        if (!isCancellation(notice)) {
            return;
        }
        storeCache.apply(StoreSchema.jobKey(notice.jobId()), notice.record(), notice.version());
        List<Integer> ledShards =
                IntStream.range(0, shards.shardCount())
                        .filter(shards::hasValidLease)
                        .boxed()
                        .toList();
        if (!ledShards.isEmpty()) {
            outbox.add(
                    new Effect.SendCancellationMessage(
                            notice.senderHost(),
                            new CancellationAcknowledgement(notice.jobId(), ledShards)));
        }
    }

    private static boolean isCancellation(CancellationNotice notice) {
        try {
            return JobSpec.isValidId(notice.jobId())
                    && JobRecord.fromMap(notice.record()).status() == JobStatus.CANCELLED;
        } catch (CorruptRecordException invalid) {
            return false;
        }
    }
}
