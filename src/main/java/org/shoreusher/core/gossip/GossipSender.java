package org.shoreusher.core.gossip;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntFunction;
import org.shoreusher.core.leadership.LeadershipConstants;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.settings.Settings;

/** Sends this node's gossip to the peers at intervals. */
final class GossipSender {
    private static final double MS_PER_S = 1000.0;

    private final Settings settings;
    private final Outbox outbox;
    private final int shardCount;

    /** Returns the shard with the given number if this node leads it, else null. */
    private final IntFunction<? extends LedShardView> ledShards;

    private final RedirectedWorkers[] redirectedWorkersByShard;

    private final TaskCountSlices taskCountSlices = new TaskCountSlices();

    /** Whether {@link #startedMs} has been set. */
    private boolean isStarted;

    /** When the first batch of commands was handled; monotonic ms. */
    private long startedMs;

    private long nextSendMs;

    /** When this node last sent gossip that it can't reach the store; monotonic ms. */
    private long lastStoreOutageSentMs;

    /**
     * Creates a sender that has sent nothing yet.
     *
     * @param ledShards returns the shard with the given number if this node leads it, else null
     * @param redirectedWorkersByShard for each shard, the workers that can't reach its leader
     */
    GossipSender(
            Settings settings,
            Outbox outbox,
            IntFunction<? extends LedShardView> ledShards,
            RedirectedWorkers[] redirectedWorkersByShard) {
        this.settings = settings;
        this.outbox = outbox;
        this.ledShards = ledShards;
        this.redirectedWorkersByShard = redirectedWorkersByShard;
        shardCount = redirectedWorkersByShard.length;
    }

    /**
     * Records the time of the first batch of commands; later calls do nothing. Returns whether this
     * call was the first.
     */
    boolean recordStart() {
        if (isStarted) {
            return false;
        }
        isStarted = true;
        startedMs = outbox.now().monotonicMs();
        // A previous process on this host may have reported a store outage until it ended.
        lastStoreOutageSentMs = startedMs;
        return true;
    }

    /** Seconds since the first batch of commands. */
    double uptimeS() {
        return (outbox.now().monotonicMs() - startedMs) / MS_PER_S;
    }

    /**
     * Until when a peer may rely on this node's gossip that it can't reach the store; monotonic ms.
     */
    long storeOutageGossipValidUntilMs() {
        // Peers also check the age by the sender's wall clock, from which their own may differ by
        // twice the largest offset.
        return lastStoreOutageSentMs
                + GossipConstants.MAX_GOSSIP_AGE_MS
                + 2 * settings.maxClockOffsetMs()
                + LeadershipConstants.LEASE_EXPIRY_MARGIN_MS;
    }

    /** Sends gossip to the peers if it is due; returns whether it did. */
    boolean sendIfDue() {
        long nowMs = outbox.now().monotonicMs();
        if (nowMs < nextSendMs) {
            return false;
        }
        boolean isStoreReachable =
                outbox.sinceStoreReplyMs() < GossipConstants.STORE_UNREACHABLE_TIMEOUT_MS;
        if (!isStoreReachable) {
            lastStoreOutageSentMs = nowMs;
        }
        outbox.add(new Effect.SendGossip(message(isStoreReachable)));
        nextSendMs = nowMs + taskCountSlices.intervalMs();
        return true;
    }

    private GossipMessage message(boolean isStoreReachable) {
        Map<Integer, LedShardView> shards = shardsWithValidLease();
        Map<Integer, ShardSummary> summaries = new HashMap<>();
        shards.forEach((shardNumber, shard) -> summaries.put(shardNumber, shard.summary()));
        TaskCountSlices.Slice taskCounts = taskCountSlices.next(shards.values());
        return new GossipMessage(
                settings.host(),
                outbox.now().wallMs(),
                isStoreReachable,
                uptimeS(),
                summaries,
                redirectedWorkerCounts(),
                taskCounts.runningTasks(),
                taskCounts.completedTasks());
    }

    private Map<Integer, LedShardView> shardsWithValidLease() {
        Map<Integer, LedShardView> shards = new HashMap<>();
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            LedShardView shard = ledShards.apply(shardNumber);
            if (shard != null && shard.isLeader()) {
                shards.put(shardNumber, shard);
            }
        }
        return shards;
    }

    /**
     * The number of workers that can't reach their leader, by shard; shards without such workers
     * are left out.
     */
    private Map<Integer, Integer> redirectedWorkerCounts() {
        Map<Integer, Integer> workersByShard = new HashMap<>();
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            int workers =
                    redirectedWorkersByShard[shardNumber].countRepeatedlyRedirected(
                            outbox.now().monotonicMs());
            if (workers > 0) {
                workersByShard.put(shardNumber, workers);
            }
        }
        return workersByShard;
    }
}
