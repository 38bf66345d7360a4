package org.shoreusher.core.gossip;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Arrays;
import java.util.HashMap;
import java.util.function.IntFunction;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.leadership.LeadershipConstants;
import org.shoreusher.core.leadership.LeadershipPeerView;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.settings.Settings;

/**
 * The gossip between the nodes: the last message of each peer, and the messages that this node
 * sends. Correctness never depends on it: a wrong or missing message costs time only.
 */
public final class PeerGossip implements LeadershipPeerView {
    private final Settings settings;
    private final Outbox outbox;

    /** The shards that this node leads, by number; null for another shard. */
    private final IntFunction<? extends LedShardView> ownShards;

    /** The last message of each peer, by host. */
    private final Object2ObjectOpenHashMap<String, GossipMessage> lastMessages =
            new Object2ObjectOpenHashMap<>();

    /** When that message was received, by host; steady ms. */
    private final Object2ObjectOpenHashMap<String, Long> receivedAtMs =
            new Object2ObjectOpenHashMap<>();

    private long nextSendMs;

    /** When this process handled its first batch of commands, steady ms; -1: not yet. */
    private long startedMs = -1;

    /** When this node last told its peers that it can't reach the store; steady ms. */
    private long lastSaidUnreachableMs;

    /** For each shard, the workers that its leader had answered and that now come to this node. */
    private final RedirectedWorkers[] redirected;

    /** No messages yet. */
    public PeerGossip(
            Settings settings,
            Outbox outbox,
            int shardCount,
            IntFunction<? extends LedShardView> ownShards) {
        this.settings = settings;
        this.outbox = outbox;
        this.ownShards = ownShards;
        redirected = new RedirectedWorkers[shardCount];
        Arrays.setAll(redirected, shardNumber -> new RedirectedWorkers());
    }

    /** Notes when the first batch of commands is handled; later calls do nothing. */
    public void noteStart() {
        if (startedMs < 0) {
            startedMs = outbox.now().monotonicMs();
            // An earlier process on this host may have said so until it ended.
            lastSaidUnreachableMs = startedMs;
        }
    }

    /** A message from a peer has arrived. */
    public void receive(GossipMessage message) {
        lastMessages.put(message.senderHost(), message);
        receivedAtMs.put(message.senderHost(), outbox.now().monotonicMs());
    }

    /** Whether any peer has lately said that it reaches the store. */
    public boolean anyPeerReachesStore() {
        return lastMessages.values().stream()
                .anyMatch(message -> isFresh(message) && message.storeReachable());
    }

    /**
     * Records the heartbeat of a worker that belongs to the shard of another leader.
     *
     * @param machineCount the number of machines of all shards
     * @return whether the worker should be kept away from the shard's leader for now
     */
    public boolean recordRedirectedWorker(
            int shardNumber, WorkerHeartbeat heartbeat, int machineCount) {
        return redirected[shardNumber].recordRedirect(
                heartbeat, machineCount, outbox.now().monotonicMs());
    }

    /** The shard has another leader than before. */
    public void leaderChanged(int shardNumber) {
        redirected[shardNumber].clear();
    }

    /**
     * The task counts of a job in the shard of another leader, for display; zeros if no message
     * names the job.
     */
    public Response.TaskCounts taskCounts(String jobId) {
        for (GossipMessage message : lastMessages.values()) {
            if (message.runningTasks().containsKey(jobId)
                    || message.completedTasks().containsKey(jobId)) {
                return new Response.TaskCounts(
                        message.completedTasks().getOrDefault(jobId, 0),
                        message.runningTasks().getOrDefault(jobId, 0));
            }
        }
        return new Response.TaskCounts(0, 0);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A message may have been delayed by the network, so its age is also checked by the sender's
     * clock. A peer that sends nothing is assumed to reach the store.
     */
    @Override
    public boolean isStoreUnavailableToAllPeers() {
        return settings.members().stream()
                .map(member -> lastMessages.get(member.host()))
                .allMatch(
                        message ->
                                message != null
                                        && isFresh(message)
                                        && !message.storeReachable()
                                        && outbox.now().wallMs() - message.sentWallMs()
                                                < GossipConstants.MAX_GOSSIP_AGE_MS);
    }

    @Override
    public boolean isResponsive(String host) {
        GossipMessage message = lastMessages.get(host);
        return message != null && isFresh(message);
    }

    @Override
    public long storeOutageGossipValidUntilMs() {
        return lastSaidUnreachableMs
                + GossipConstants.MAX_GOSSIP_AGE_MS
                + 2 * settings.maxClockOffsetMs()
                + LeadershipConstants.LEASE_EXPIRY_MARGIN_MS;
    }

    @Override
    public int workersUnableToReachLeader(int part) {
        int workers = 0;
        for (GossipMessage message : lastMessages.values()) {
            // The largest count, not the sum: a redirected worker goes back and forth between
            // peers.
            workers =
                    Math.max(
                            workers,
                            isFresh(message) && message.storeReachable()
                                    ? message.redirectedWorkers().getOrDefault(part, 0)
                                    : 0);
        }
        return workers;
    }

    /** Whether the message is recent enough to be used. */
    private boolean isFresh(GossipMessage message) {
        return outbox.now().monotonicMs() - receivedAtMs.get(message.senderHost())
                < GossipConstants.MAX_GOSSIP_AGE_MS;
    }

    /**
     * Whether a shard's leader has probably failed: its lease has expired, or it has missed a lease
     * renewal and its gossip has stopped.
     */
    public boolean isSuspectedDown(ShardRecord record) {
        long remainingLeaseMs = record.leaseExpiryWallMs() - outbox.now().wallMs();
        GossipMessage message = lastMessages.get(record.leaderHost());
        boolean isQuiet =
                message == null
                        || outbox.now().monotonicMs() - receivedAtMs.get(record.leaderHost())
                                > GossipConstants.PEER_UNRESPONSIVE_MS;
        return remainingLeaseMs < 0
                || (isQuiet
                        && remainingLeaseMs
                                < LeaderLease.durationMs(settings)
                                        - LeaderLease.renewalIntervalMs(settings)
                                        - GossipConstants.PEER_UNRESPONSIVE_MS);
    }

    /**
     * The host that a worker should send heartbeats to until its shard has a new leader; null if no
     * peer is suitable. Redirected to a leader that is cut off, the worker would wait there for its
     * whole timeout, again and again, while its lease runs out. Redirected between two responsive
     * nodes it asks every half second, so the successor hears from it at once.
     */
    public String interimHost(String leaderHost) {
        return lastMessages.values().stream()
                .filter(
                        message ->
                                message.storeReachable()
                                        && !message.senderHost().equals(leaderHost)
                                        && outbox.now().monotonicMs()
                                                        - receivedAtMs.get(message.senderHost())
                                                < GossipConstants.PEER_UNRESPONSIVE_MS)
                .map(GossipMessage::senderHost)
                .sorted()
                .findFirst()
                .orElse(null);
    }

    @Override
    public ShardSummary shardSummary(int part) {
        if (ownShards.apply(part) != null) {
            return ownShards.apply(part).isLeader() ? ownShards.apply(part).summary() : null;
        }
        for (GossipMessage message : lastMessages.values()) {
            if (isFresh(message) && message.shards().containsKey(part)) {
                return message.shards().get(part);
            }
        }
        return null;
    }

    @Override
    public int peersWithPriority(int ownedCount) {
        // A peer that has sent nothing yet may be starting: a node that leads no shard leaves one
        // shard to each such peer.
        int before =
                ownedCount == 0
                        ? 0
                        : (int)
                                settings.members().stream()
                                        .filter(
                                                member ->
                                                        !lastMessages.containsKey(member.host())
                                                                || !isFresh(
                                                                        lastMessages.get(
                                                                                member.host())))
                                        .count();
        double up = (outbox.now().monotonicMs() - startedMs) / 1000.0;
        for (GossipMessage message : lastMessages.values()) {
            if (isFresh(message)
                    && message.storeReachable()
                    && (message.shards().size() < ownedCount
                            || (message.shards().size() == ownedCount && message.uptimeS() < up))) {
                before++;
            }
        }
        return before;
    }

    @Override
    public boolean isAnyPeerLeadingTwoFewer(int ownedCount) {
        return lastMessages.values().stream()
                .anyMatch(
                        message ->
                                isFresh(message)
                                        && message.storeReachable()
                                        && message.uptimeS()
                                                > GossipConstants.SHARD_REBALANCE_MIN_PEER_UPTIME_S
                                        && message.shards().size() <= ownedCount - 2);
    }

    /** Sends a message to the peers if one is due; returns whether it did. */
    public boolean sendIfDue() {
        if (outbox.now().monotonicMs() < nextSendMs) {
            return false;
        }
        nextSendMs = outbox.now().monotonicMs() + GossipConstants.GOSSIP_INTERVAL_MS;
        HashMap<Integer, ShardSummary> summaries = new HashMap<>();
        HashMap<Integer, Integer> redirectedWorkers = new HashMap<>();
        HashMap<String, Integer> runningTasks = new HashMap<>();
        HashMap<String, Integer> completedTasks = new HashMap<>();
        for (int shardNumber = 0; shardNumber < redirected.length; shardNumber++) {
            LedShardView shard = ownShards.apply(shardNumber);
            int workers =
                    redirected[shardNumber].countRepeatedlyRedirected(outbox.now().monotonicMs());
            if (workers > 0) {
                redirectedWorkers.put(shardNumber, workers);
            }
            if (shard != null && shard.isLeader()) {
                summaries.put(shardNumber, shard.summary());
                for (Job job : shard.jobs().values()) {
                    runningTasks.put(job.id(), job.activeAttempts().size());
                    completedTasks.put(job.id(), job.completedTasks().cardinality());
                }
            }
        }
        boolean storeReachable =
                outbox.sinceStoreReplyMs() < GossipConstants.READINESS_STORE_TIMEOUT_MS;
        lastSaidUnreachableMs = storeReachable ? lastSaidUnreachableMs : outbox.now().monotonicMs();
        outbox.add(
                new Effect.SendGossip(
                        new GossipMessage(
                                settings.host(),
                                outbox.now().wallMs(),
                                storeReachable,
                                (outbox.now().monotonicMs() - startedMs) / 1000.0,
                                summaries,
                                redirectedWorkers,
                                runningTasks,
                                completedTasks)));
        return true;
    }
}
