package org.shoreusher.core.gossip;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.IntFunction;
import org.shoreusher.core.gossip.ReceivedMessages.Received;
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
 * sends. Correctness never depends on it: a wrong or missing message costs time only.
 */
public final class PeerGossip implements LeadershipPeerView {
    private final Settings settings;
    private final Outbox outbox;

    /** The shards that this node leads, by number; null for another shard. */
    private final IntFunction<? extends LedShardView> ledShards;

    private final ReceivedMessages received = new ReceivedMessages();

    /** For each shard, the workers that its leader had answered and that now come to this node. */
    private final RedirectedWorkers[] redirected;

    private final GossipSender sender;

    /**
     * The gossip of one node, before the first message.
     *
     * @param ledShards the shards that this node leads, by number; null for another shard
     */
    public PeerGossip(
            Settings settings,
            Outbox outbox,
            int shardCount,
            IntFunction<? extends LedShardView> ledShards) {
        this.settings = settings;
        this.outbox = outbox;
        this.ledShards = ledShards;
        redirected = new RedirectedWorkers[shardCount];
        Arrays.setAll(redirected, shardNumber -> new RedirectedWorkers());
        sender = new GossipSender(settings, outbox, ledShards, redirected);
    }

    /** Notes when the first batch of commands is handled; later calls do nothing. */
    public void noteStart() {
        sender.noteStart();
    }

    /** Sends a message to the peers if one is due; returns whether it did. */
    public boolean sendIfDue() {
        return sender.sendIfDue();
    }

    /** A message from a peer has arrived. */
    public void receive(GossipMessage message) {
        received.put(message, nowMs());
    }

    private long nowMs() {
        return outbox.now().monotonicMs();
    }

    // ---- workers that can't reach their leader -----------------------------------------------

    /**
     * Records the heartbeat of a worker that belongs to the shard of another leader.
     *
     * @param machineCount the number of machines of all shards
     * @return whether the worker should be kept away from the shard's leader for now
     */
    public boolean recordRedirectedWorker(
            int shardNumber, WorkerHeartbeat heartbeat, int machineCount) {
        return redirected[shardNumber].recordRedirect(heartbeat, machineCount, nowMs());
    }

    /** The shard has another leader than before. */
    public void leaderChanged(int shardNumber) {
        redirected[shardNumber].clear();
    }

    @Override
    public int workersUnableToReachLeader(int shardNumber) {
        int workers = 0;
        for (Received last : received.all()) {
            if (last.isFromUsableNode(nowMs())) {
                // The largest count, not the sum: a redirected worker goes back and forth between
                // peers.
                workers =
                        Math.max(
                                workers,
                                last.message().redirectedWorkers().getOrDefault(shardNumber, 0));
            }
        }
        return workers;
    }

    /**
     * The host that a worker should send heartbeats to until its shard has a new leader; empty if
     * no peer is suitable. Redirected to a leader that is cut off, the worker would wait there for
     * its whole timeout, again and again, while its lease runs out. Redirected between two
     * responsive nodes it asks every half second, so the successor hears from it at once.
     */
    public Optional<String> interimHost(String leaderHost) {
        return received.all().stream()
                .filter(last -> last.message().storeReachable() && hasSentRecently(last))
                .map(last -> last.message().senderHost())
                .filter(host -> !host.equals(leaderHost))
                .min(Comparator.naturalOrder());
    }

    // ---- the state of peers ------------------------------------------------------------------

    /** Whether any peer has lately said that it reaches the store. */
    public boolean anyPeerReachesStore() {
        return received.all().stream().anyMatch(last -> last.isFromUsableNode(nowMs()));
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
                .allMatch(
                        member ->
                                received.lastOf(member.host())
                                        .filter(this::provesStoreOutage)
                                        .isPresent());
    }

    private boolean provesStoreOutage(Received last) {
        return last.isFresh(nowMs())
                && !last.message().storeReachable()
                && outbox.now().wallMs() - last.message().sentWallMs()
                        < GossipConstants.MAX_GOSSIP_AGE_MS;
    }

    @Override
    public long storeOutageGossipValidUntilMs() {
        return sender.storeOutageGossipValidUntilMs();
    }

    @Override
    public boolean isResponsive(String host) {
        return received.isFresh(host, nowMs());
    }

    /**
     * Whether a shard's leader has probably failed: its lease has expired, or it has missed a lease
     * renewal and its gossip has stopped.
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
                && received.lastOf(record.leaderHost()).map(this::isGossipOverdue).orElse(true);
    }

    private boolean isGossipOverdue(Received last) {
        return nowMs() - last.receivedAtMs() > GossipConstants.PEER_UNRESPONSIVE_MS;
    }

    private boolean hasSentRecently(Received last) {
        return nowMs() - last.receivedAtMs() < GossipConstants.PEER_UNRESPONSIVE_MS;
    }

    // ---- shards and jobs of peers ------------------------------------------------------------

    @Override
    public ShardSummary shardSummary(int shardNumber) {
        LedShardView ledShard = ledShards.apply(shardNumber);
        if (ledShard != null) {
            return ledShard.isLeader() ? ledShard.summary() : null;
        }
        for (Received last : received.all()) {
            if (last.isFresh(nowMs()) && last.message().shards().containsKey(shardNumber)) {
                return last.message().shards().get(shardNumber);
            }
        }
        return null;
    }

    /**
     * The task counts of a job in the shard of another leader, for display; zeros if no message
     * names the job.
     */
    public TaskCounts taskCounts(String jobId) {
        for (Received last : received.all()) {
            Integer running = last.message().runningTasks().get(jobId);
            Integer completed = last.message().completedTasks().get(jobId);
            if (running != null || completed != null) {
                return new TaskCounts(
                        completed == null ? 0 : completed, running == null ? 0 : running);
            }
        }
        return new TaskCounts(0, 0);
    }

    @Override
    public int peersWithPriority(int ledShardCount) {
        // A peer that has sent nothing yet may be starting: a node that leads no shard leaves one
        // shard to each such peer.
        int peerCount = ledShardCount == 0 ? 0 : membersWithoutFreshGossip();
        for (Received last : received.all()) {
            if (last.isFromUsableNode(nowMs()) && goesFirst(last.message(), ledShardCount)) {
                peerCount++;
            }
        }
        return peerCount;
    }

    private int membersWithoutFreshGossip() {
        return (int)
                settings.members().stream()
                        .filter(member -> !received.isFresh(member.host(), nowMs()))
                        .count();
    }

    /** Whether a peer leads fewer shards than this node, or as many and is up for less time. */
    private boolean goesFirst(GossipMessage peer, int ledShardCount) {
        int peerShardCount = peer.shards().size();
        return peerShardCount < ledShardCount
                || (peerShardCount == ledShardCount && peer.uptimeS() < sender.uptimeS());
    }

    @Override
    public boolean isAnyPeerLeadingTwoFewer(int ledShardCount) {
        return received.all().stream()
                .anyMatch(
                        last ->
                                last.isFromUsableNode(nowMs())
                                        && last.message().uptimeS()
                                                > GossipConstants.SHARD_REBALANCE_MIN_PEER_UPTIME_S
                                        && last.message().shards().size() <= ledShardCount - 2);
    }
}
