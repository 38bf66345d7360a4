package org.shoreusher.core.user;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.message.CancellationMessage.CancellationAcknowledgement;
import org.shoreusher.core.message.CancellationMessage.CancellationNotice;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.VersionNegotiation;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;

/**
 * Delays the responses that report a cancellation until no leader can start tasks of the job any
 * more. Any node writes cancellations, so a leader whose store cache lags does not know of one that
 * the store already contains.
 *
 * <p>Invariant: <em>a node reports a job as cancelled only if, for every shard, a leader with a
 * valid lease has had the cancellation in memory, or the cancellation is older than any store cache
 * with which a leader starts tasks.</em> The first suffices because leases do not overlap: an
 * earlier leader has stopped, and a later one loads a store that contains the cancellation. A
 * leader of a version without acknowledgements is waited for.
 */
public final class CancellationPropagation {
    /** A response that waits. */
    private record PendingResponse(long requestId, long expiresAtMs, Runnable respond) {}

    /** A cancellation that this node has known for a short time only. */
    private static final class RecentCancellation {
        private final long observedAtMs;

        /** The shards whose leader has the cancellation in memory. */
        private final BitSet informedShards = new BitSet();

        private final List<PendingResponse> pendingResponses = new ArrayList<>();
        private long nextNoticeMs;

        RecentCancellation(long observedAtMs) {
            this.observedAtMs = observedAtMs;
        }
    }

    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final VersionNegotiation versionNegotiation;
    private final int shardCount;
    private final IntPredicate isLedHere;

    /** The recent cancellations by job id, the oldest first. */
    private final Map<String, RecentCancellation> recentCancellations = new LinkedHashMap<>();

    private int pendingCount;

    /** Whether {@link #loadedAtMs} has been set. */
    private boolean cacheLoadSeen;

    /** When the store cache was first complete; monotonic ms. */
    private long loadedAtMs;

    /**
     * Creates an instance that has seen no cancellation yet.
     *
     * @param shardCount the number of shards
     * @param isLedHere whether this node has a valid lease on the shard with a number
     */
    public CancellationPropagation(NodeContext context, int shardCount, IntPredicate isLedHere) {
        settings = context.settings();
        outbox = context.outbox();
        storeCache = context.storeCache();
        versionNegotiation = context.versionNegotiation();
        this.shardCount = shardCount;
        this.isLedHere = isLedHere;
    }

    /** The number of responses that wait. */
    int pendingCount() {
        return pendingCount;
    }

    /**
     * Handles the record of a cancelled job in the store cache. Must be called after the shards
     * that this node leads have received the record, and before any response reports it.
     */
    public void cancellationObserved(String jobId) {
        // The first load may contain very many cancelled jobs. See recentCancellation.
        if (storeCache.isLoaded()) {
            recentCancellations.computeIfAbsent(jobId, id -> new RecentCancellation(nowMs()));
        }
    }

    /**
     * Responds to a request with a cancellation as soon as it may be reported.
     *
     * @param maxWaitMs after this time the request is rejected as unavailable instead
     * @param respond sends the response
     */
    void respondWhenPropagated(long requestId, String jobId, long maxWaitMs, Runnable respond) {
        RecentCancellation cancellation = recentCancellation(jobId);
        if (cancellation == null || isPropagated(cancellation)) {
            respond.run();
            return;
        }
        cancellation.pendingResponses.add(
                new PendingResponse(requestId, nowMs() + maxWaitMs, respond));
        pendingCount++;
        sendNoticeIfDue(jobId, cancellation);
    }

    /** The cancellation of a job if this node may have known it for a short time only, or null. */
    private RecentCancellation recentCancellation(String jobId) {
        boolean isLoadRecent = !cacheLoadSeen || isRecent(loadedAtMs);
        return isLoadRecent
                ? recentCancellations.computeIfAbsent(jobId, id -> new RecentCancellation(nowMs()))
                : recentCancellations.get(jobId);
    }

    private boolean isRecent(long sinceMs) {
        return nowMs() - sinceMs <= LeaderLease.maxStartDelayAfterWriteMs();
    }

    private boolean isPropagated(RecentCancellation cancellation) {
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            if (isLedHere.test(shardNumber)) {
                cancellation.informedShards.set(shardNumber);
            }
        }
        return cancellation.informedShards.cardinality() == shardCount
                || !isRecent(cancellation.observedAtMs);
    }

    /** Handles the acknowledgement of a leader, however late. */
    public void acknowledged(CancellationAcknowledgement acknowledgement) {
        RecentCancellation cancellation = recentCancellations.get(acknowledgement.jobId());
        if (cancellation == null) {
            return;
        }
        for (int shardNumber : acknowledgement.ledShards()) {
            if (shardNumber >= 0 && shardNumber < shardCount) {
                cancellation.informedShards.set(shardNumber);
            }
        }
    }

    /** Sends the responses and notices that are due. */
    void step() {
        if (!cacheLoadSeen && storeCache.isLoaded()) {
            cacheLoadSeen = true;
            loadedAtMs = nowMs();
        }
        recentCancellations.forEach(this::step);
        recentCancellations.values().removeIf(recent -> !isRecent(recent.observedAtMs));
    }

    private void step(String jobId, RecentCancellation cancellation) {
        if (cancellation.pendingResponses.isEmpty()) {
            return;
        }
        if (isPropagated(cancellation)) {
            cancellation.pendingResponses.forEach(pending -> pending.respond().run());
            pendingCount -= cancellation.pendingResponses.size();
            cancellation.pendingResponses.clear();
            return;
        }
        rejectExpired(jobId, cancellation);
        if (!cancellation.pendingResponses.isEmpty()) {
            sendNoticeIfDue(jobId, cancellation);
        }
    }

    private void rejectExpired(String jobId, RecentCancellation cancellation) {
        for (PendingResponse pending : List.copyOf(cancellation.pendingResponses)) {
            if (nowMs() >= pending.expiresAtMs()) {
                cancellation.pendingResponses.remove(pending);
                pendingCount--;
                outbox.respondUnavailable(pending.requestId());
                outbox.log(
                        LogEvent.of(LogEventType.CANCELLATION_NOT_PROPAGATED).with("job", jobId));
            }
        }
    }

    /** Sends the cancellation to the leaders that have not acknowledged it. */
    private void sendNoticeIfDue(String jobId, RecentCancellation cancellation) {
        StoreCache.Entry entry = storeCache.get(StoreSchema.jobKey(jobId));
        if (entry == null || nowMs() < cancellation.nextNoticeMs) {
            return;
        }
        cancellation.nextNoticeMs = nowMs() + AdmissionConstants.CANCELLATION_NOTICE_INTERVAL_MS;
        CancellationNotice notice =
                new CancellationNotice(settings.host(), jobId, entry.value(), entry.version());
        uninformedLeaderHosts(cancellation)
                .forEach(host -> outbox.add(new Effect.SendCancellationMessage(host, notice)));
    }

    /** The hosts of the leaders that can acknowledge the cancellation and have not done so. */
    private Set<String> uninformedLeaderHosts(RecentCancellation cancellation) {
        Set<String> hosts = new HashSet<>();
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            ShardRecord record = ShardRecord.in(storeCache, shardNumber);
            if (record != null
                    && !cancellation.informedShards.get(shardNumber)
                    && versionNegotiation.acknowledgesCancellations(record.leader())) {
                hosts.add(record.leaderHost());
            }
        }
        return hosts;
    }

    private long nowMs() {
        return outbox.now().monotonicMs();
    }
}
