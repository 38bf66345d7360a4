package org.shoreusher.core.gossip;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.IntFunction;
import org.shoreusher.core.gossip.ReceivedMessages.PeerMessage;
import org.shoreusher.core.leadership.LeaderLease;
import org.shoreusher.core.leadership.LeadershipPeerView;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.message.Response.TaskCounts;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.settings.Settings;

/**
 * The gossip between the nodes: the last message of each peer, and the messages that this node
 * sends. Correctness never depends on it: a wrong or missing message only delays decisions.
 */
public final class PeerGossip implements LeadershipPeerView {
    private final Settings settings;
    private final Outbox outbox;

    /** Returns the shard with the given number if this node leads it, else null. */
    private final IntFunction<? extends LedShardView> ledShards;

    private final ReceivedMessages receivedMessages = new ReceivedMessages();

    /**
     * For each shard, the workers that its leader had responded to and that now send heartbeats to
     * this node.
     */
    private final RedirectedWorkers[] redirectedWorkersByShard;

    private final GossipSender sender;

    private final ReceivedTaskCounts taskCounts;

    /**
     * Creates the gossip of one node without any message.
     *
     * @param ledShards returns the shard with the given number if this node leads it, else null
     */
    public PeerGossip(
            Settings settings,
            Outbox outbox,
            int shardCount,
            IntFunction<? extends LedShardView> ledShards) {
        this.settings = settings;
        this.outbox = outbox;
        this.ledShards = ledShards;
        taskCounts = new ReceivedTaskCounts(settings, outbox, shardCount);
        redirectedWorkersByShard = new RedirectedWorkers[shardCount];
        Arrays.setAll(redirectedWorkersByShard, shardNumber -> new RedirectedWorkers());
        sender = new GossipSender(settings, outbox, ledShards, redirectedWorkersByShard);
    }

    /** Records the time of the first batch of commands; later calls do nothing. */
    public void recordStart() {
        if (sender.recordStart()) {
            taskCounts.recordStart();
        }
    }

    /** Sends gossip to the peers if it is due; returns whether it did. */
    public boolean sendIfDue() {
        return sender.sendIfDue();
    }

    /** Handles a message from a peer. */
    public void receive(GossipMessage message) {
        taskCounts.recordReceipt(receivedMessages.put(message, nowMs()));
    }

    private long nowMs() {
        return outbox.now().monotonicMs();
    }

    /**
     * Records the heartbeat of a worker whose shard another node leads.
     *
     * @param machineCount the number of machines of all shards
     * @return whether the worker should be redirected to another node than the shard's leader for
     *     now
     */
    public boolean recordRedirectedWorker(
            int shardNumber, WorkerHeartbeat heartbeat, int machineCount) {
        return redirectedWorkersByShard[shardNumber].recordRedirect(
                heartbeat, machineCount, nowMs());
    }

    /** Handles a change of the shard's leader. */
    public void leaderChanged(int shardNumber) {
        redirectedWorkersByShard[shardNumber].clear();
    }

    @Override
    public int workersUnableToReachLeader(int shardNumber) {
        int workers = 0;
        for (PeerMessage peerMessage : receivedMessages.all()) {
            if (peerMessage.isFreshAndStoreReachable(nowMs())) {
                // The largest count, not the sum: several peers may count the same worker.
                workers =
                        Math.max(
                                workers,
                                peerMessage
                                        .message()
                                        .redirectedWorkers()
                                        .getOrDefault(shardNumber, 0));
            }
        }
        return workers;
    }

    /**
     * The host to which a worker should send heartbeats until its shard has a new leader; empty if
     * no peer is suitable. A worker that is redirected to an unreachable leader waits for its full
     * response timeout each time, and its lease may expire meanwhile. A worker that is redirected
     * between responsive nodes sends a heartbeat every 500 ms, so the successor receives one soon
     * after the failover.
     */
    public Optional<String> interimHost(String leaderHost) {
        return receivedMessages.all().stream()
                .filter(
                        peerMessage ->
                                peerMessage.message().storeReachable()
                                        && hasSentRecently(peerMessage))
                .map(peerMessage -> peerMessage.message().senderHost())
                .filter(host -> !host.equals(leaderHost))
                .min(Comparator.naturalOrder());
    }

    /** Whether recent gossip of any peer reports that it can reach the store. */
    public boolean anyPeerReachesStore() {
        return receivedMessages.all().stream()
                .anyMatch(peerMessage -> peerMessage.isFreshAndStoreReachable(nowMs()));
    }

    /**
     * {@inheritDoc}
     *
     * <p>The network may have delayed a message, so its age is also checked by the sender's clock.
     * A peer without recent gossip is assumed to reach the store.
     */
    @Override
    public boolean isStoreUnavailableToAllPeers() {
        return settings.members().stream()
                .allMatch(
                        member ->
                                receivedMessages
                                        .lastOf(member.host())
                                        .filter(this::reportsStoreOutage)
                                        .isPresent());
    }

    private boolean reportsStoreOutage(PeerMessage peerMessage) {
        return peerMessage.isFresh(nowMs())
                && !peerMessage.message().storeReachable()
                && outbox.now().wallMs() - peerMessage.message().sentWallMs()
                        < GossipConstants.MAX_GOSSIP_AGE_MS;
    }

    @Override
    public long storeOutageGossipValidUntilMs() {
        return sender.storeOutageGossipValidUntilMs();
    }

    @Override
    public boolean isResponsive(String host) {
        return receivedMessages.isFresh(host, nowMs());
    }

    /**
     * Whether a shard's leader has probably failed: its lease has expired, or its lease renewal is
     * overdue by {@link GossipConstants#PEER_UNRESPONSIVE_MS} and no gossip of its host has arrived
     * for that time.
     */
    public boolean isSuspectedDown(ShardRecord record) {
        long remainingLeaseMs = record.leaseExpiryWallMs() - outbox.now().wallMs();
        if (remainingLeaseMs < 0) {
            return true;
        }
        long remainingAfterMissedRenewalMs =
                LeaderLease.durationMs(settings)
                        - LeaderLease.renewalIntervalMs(settings)
                        - GossipConstants.PEER_UNRESPONSIVE_MS;
        return remainingLeaseMs < remainingAfterMissedRenewalMs
                && receivedMessages
                        .lastOf(record.leaderHost())
                        .map(this::isGossipOverdue)
                        .orElse(true);
    }

    private boolean isGossipOverdue(PeerMessage peerMessage) {
        return nowMs() - peerMessage.receivedAtMs() > GossipConstants.PEER_UNRESPONSIVE_MS;
    }

    private boolean hasSentRecently(PeerMessage peerMessage) {
        return nowMs() - peerMessage.receivedAtMs() < GossipConstants.PEER_UNRESPONSIVE_MS;
    }

    @Override
    public ShardSummary shardSummary(int shardNumber) {
        LedShardView ledShard = ledShards.apply(shardNumber);
        if (ledShard != null) {
            return ledShard.isLeader() ? ledShard.summary() : null;
        }
        for (PeerMessage peerMessage : receivedMessages.all()) {
            if (peerMessage.isFresh(nowMs())
                    && peerMessage.message().shards().containsKey(shardNumber)) {
                return peerMessage.message().shards().get(shardNumber);
            }
        }
        return null;
    }

    /**
     * The task counts of a job as its shard's leader sent them a short time ago; empty if no peer
     * did.
     */
    public Optional<TaskCounts> taskCounts(int shardNumber, String jobId) {
        return taskCounts.taskCounts(shardNumber, jobId);
    }

    /**
     * Whether no leader of a shard has sent task counts to this node for so long that users should
     * rather be routed to the leader.
     */
    public boolean areTaskCountsMissing(int shardNumber) {
        return taskCounts.areMissing(shardNumber);
    }

    @Override
    public int peersWithPriority(int ledShardCount) {
        // A peer without recent gossip may be starting. A node that already leads a shard lets each
        // such peer try first; a node without a shard does not wait for them.
        int peerCount = ledShardCount == 0 ? 0 : membersWithoutFreshGossip();
        for (PeerMessage peerMessage : receivedMessages.all()) {
            if (peerMessage.isFreshAndStoreReachable(nowMs())
                    && hasPriority(peerMessage.message(), ledShardCount)) {
                peerCount++;
            }
        }
        return peerCount;
    }

    private int membersWithoutFreshGossip() {
        return (int)
                settings.members().stream()
                        .filter(member -> !receivedMessages.isFresh(member.host(), nowMs()))
                        .count();
    }

    /**
     * Whether a peer leads fewer shards than this node, or as many and has been up for a shorter
     * time.
     */
    private boolean hasPriority(GossipMessage peer, int ledShardCount) {
        int peerShardCount = peer.shards().size();
        return peerShardCount < ledShardCount
                || (peerShardCount == ledShardCount && peer.uptimeS() < sender.uptimeS());
    }

    @Override
    public boolean isAnyPeerLeadingTwoFewer(int ledShardCount) {
        return receivedMessages.all().stream()
                .anyMatch(
                        peerMessage ->
                                peerMessage.isFreshAndStoreReachable(nowMs())
                                        && peerMessage.message().uptimeS()
                                                > GossipConstants.SHARD_REBALANCE_MIN_PEER_UPTIME_S
                                        && peerMessage.message().shards().size()
                                                <= ledShardCount - 2);
    }
}
