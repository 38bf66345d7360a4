package org.shoreusher.core.gossip;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.Optional;
import org.shoreusher.core.gossip.ReceivedMessages.PeerMessage;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.core.message.Response.TaskCounts;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.settings.Settings;

/** The task counts in the gossip of the shards' leaders, for as long as users may be told them. */
final class ReceivedTaskCounts {
    private final Settings settings;
    private final Outbox outbox;

    /**
     * The messages that are recent enough, the latest first. A message may contain only some of the
     * jobs, so several of a host count.
     */
    private final Deque<PeerMessage> recentMessages = new ArrayDeque<>();

    /** When each shard's leader last sent recent task counts; monotonic ms. */
    private final long[] receivedAtMs;

    ReceivedTaskCounts(Settings settings, Outbox outbox, int shardCount) {
        this.settings = settings;
        this.outbox = outbox;
        receivedAtMs = new long[shardCount];
    }

    /** Begins to wait for task counts. */
    void recordStart() {
        Arrays.fill(receivedAtMs, nowMs());
    }

    /** Records that a message has arrived. */
    void recordReceipt(PeerMessage received) {
        recentMessages.removeIf(this::isTooOld);
        recentMessages.addFirst(received);
        for (int shardNumber = 0; shardNumber < receivedAtMs.length; shardNumber++) {
            if (isRecentFromLeader(received, shardNumber)) {
                receivedAtMs[shardNumber] = nowMs();
            }
        }
    }

    /** Whether a shard's leader has sent no recent task counts for long. */
    boolean areMissing(int shardNumber) {
        return nowMs() - receivedAtMs[shardNumber] > GossipConstants.TASK_COUNTS_MISSING_TIMEOUT_MS;
    }

    /**
     * The task counts of a job. Empty if no recent message contains it: that does not show that
     * none of its tasks runs.
     */
    Optional<TaskCounts> taskCounts(int shardNumber, String jobId) {
        return recentMessages.stream()
                .filter(peerMessage -> isRecentFromLeader(peerMessage, shardNumber))
                .map(PeerMessage::message)
                .filter(message -> message.runningTasks().containsKey(jobId))
                .max(Comparator.comparingLong(GossipMessage::sentWallMs))
                .map(
                        message ->
                                new TaskCounts(
                                        message.completedTasks().getOrDefault(jobId, 0),
                                        message.runningTasks().get(jobId)));
    }

    private boolean isRecentFromLeader(PeerMessage peerMessage, int shardNumber) {
        return peerMessage.message().shards().containsKey(shardNumber) && !isTooOld(peerMessage);
    }

    /**
     * Whether a message is too old. The network may have delayed it, so its age is also checked by
     * the sender's clock, from which this one may differ by twice the largest offset.
     */
    private boolean isTooOld(PeerMessage peerMessage) {
        long sinceReceiptMs = nowMs() - peerMessage.receivedAtMs();
        long sinceSendingMs = outbox.now().wallMs() - peerMessage.message().sentWallMs();
        long ageMs = Math.max(sinceReceiptMs, sinceSendingMs - 2 * settings.maxClockOffsetMs());
        return ageMs > GossipConstants.MAX_TASK_COUNT_AGE_MS;
    }

    private long nowMs() {
        return outbox.now().monotonicMs();
    }
}
