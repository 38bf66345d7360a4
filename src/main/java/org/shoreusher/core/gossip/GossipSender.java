package org.shoreusher.core.gossip;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntFunction;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.leadership.LeadershipConstants;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.settings.Settings;

/** Sends this node's gossip to the peers at a fixed interval. */
final class GossipSender {
    private static final double MS_PER_S = 1000.0;

    private final Settings settings;
    private final Outbox outbox;
    private final int shardCount;

    /** The shards that this node leads, by number; null for another shard. */
    private final IntFunction<? extends LedShardView> ledShards;

    private final RedirectedWorkers[] redirected;

    /** Whether this process has handled its first batch of commands. */
    private boolean isStarted;

    /** When it did; monotonic ms. */
    private long startedMs;

    private long nextSendMs;

    /** When this node last told its peers that it can't reach the store; monotonic ms. */
    private long lastSaidUnreachableMs;

    /**
     * A sender that has sent nothing yet.
     *
     * @param ledShards the shards that this node leads, by number; null for another shard
     * @param redirected for each shard, the workers that can't reach its leader
     */
    GossipSender(
            Settings settings,
            Outbox outbox,
            IntFunction<? extends LedShardView> ledShards,
            RedirectedWorkers[] redirected) {
        this.settings = settings;
        this.outbox = outbox;
        this.ledShards = ledShards;
        this.redirected = redirected;
        shardCount = redirected.length;
    }

    /** Notes when the first batch of commands is handled; later calls do nothing. */
    void noteStart() {
        if (!isStarted) {
            isStarted = true;
            startedMs = outbox.now().monotonicMs();
            // An earlier process on this host may have said so until it ended.
            lastSaidUnreachableMs = startedMs;
        }
    }

    /** Seconds since the first batch of commands. */
    double uptimeS() {
        return (outbox.now().monotonicMs() - startedMs) / MS_PER_S;
    }

    /**
     * Until when a peer may rely on this node's message that it can't reach the store; monotonic
     * ms.
     */
    long storeOutageGossipValidUntilMs() {
        return lastSaidUnreachableMs
                + GossipConstants.MAX_GOSSIP_AGE_MS
                + 2 * settings.maxClockOffsetMs()
                + LeadershipConstants.LEASE_EXPIRY_MARGIN_MS;
    }

    /** Sends a message to the peers if one is due; returns whether it did. */
    boolean sendIfDue() {
        long nowMs = outbox.now().monotonicMs();
        if (nowMs < nextSendMs) {
            return false;
        }
        nextSendMs = nowMs + GossipConstants.GOSSIP_INTERVAL_MS;
        boolean isStoreReachable =
                outbox.sinceStoreReplyMs() < GossipConstants.READINESS_STORE_TIMEOUT_MS;
        if (!isStoreReachable) {
            lastSaidUnreachableMs = nowMs;
        }
        outbox.add(new Effect.SendGossip(message(isStoreReachable)));
        return true;
    }

    private GossipMessage message(boolean isStoreReachable) {
        Map<Integer, ShardSummary> summaries = new HashMap<>();
        Map<String, Integer> runningTasks = new HashMap<>();
        Map<String, Integer> completedTasks = new HashMap<>();
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            LedShardView shard = ledShards.apply(shardNumber);
            if (shard != null && shard.isLeader()) {
                summaries.put(shardNumber, shard.summary());
                for (Job job : shard.jobs().values()) {
                    runningTasks.put(job.id(), job.activeAttempts().size());
                    completedTasks.put(job.id(), job.completedTasks().cardinality());
                }
            }
        }
        return new GossipMessage(
                settings.host(),
                outbox.now().wallMs(),
                isStoreReachable,
                uptimeS(),
                summaries,
                redirectedWorkers(),
                runningTasks,
                completedTasks);
    }

    /** By shard, the number of workers that can't reach its leader, where there are any. */
    private Map<Integer, Integer> redirectedWorkers() {
        Map<Integer, Integer> workersByShard = new HashMap<>();
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            int workers =
                    redirected[shardNumber].countRepeatedlyRedirected(outbox.now().monotonicMs());
            if (workers > 0) {
                workersByShard.put(shardNumber, workers);
            }
        }
        return workersByShard;
    }
}
