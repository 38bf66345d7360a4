package org.shoreusher.core.leadership;

import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.settings.Settings;

/**
 * What the leader of a shard may do at present, by its lease, the age of its store cache, and the
 * progress of reconciliation.
 */
public final class ShardAuthority {
    private final Settings settings;
    private final StoreCache storeCache;
    private final PeerView peerView;
    private final ShardLeadership leadership;
    private final ReconciliationProgress progress;

    /**
     * Creates the authority of a shard whose leadership was acquired.
     *
     * @param context the node's shared collaborators
     * @param peerView what gossip tells about other nodes
     * @param leadership the acquired leadership
     * @param progress how far reconciliation has come
     */
    public ShardAuthority(
            NodeContext context,
            PeerView peerView,
            ShardLeadership leadership,
            ReconciliationProgress progress) {
        settings = context.settings();
        storeCache = context.storeCache();
        this.peerView = peerView;
        this.leadership = leadership;
        this.progress = progress;
    }

    /** Returns whether this node is the leader and its lease is valid. */
    public boolean isLeader() {
        return leadership.isLeader();
    }

    /** Returns whether the leadership has ended for good. */
    public boolean isLeadershipLost() {
        return leadership.isLost();
    }

    /** The leader's current term, which workers receive as the fencing token. */
    public long term() {
        return leadership.term();
    }

    /**
     * The term under which the leadership was acquired; {@link #term} may have been raised since.
     */
    public long acquisitionTerm() {
        return leadership.acquisitionTerm();
    }

    /** Raises the term above a fencing token that a worker has seen from another leader. */
    public void raiseTerm(long seenFencingToken) {
        leadership.raiseTerm(seenFencingToken);
    }

    /** Returns whether the shard's stored state has been loaded. */
    public boolean isLoaded() {
        return progress.isLoaded();
    }

    /**
     * Returns whether reconciliation is complete: it is known of every task whether it runs, and
     * where.
     */
    public boolean isReconciled() {
        return progress.isComplete();
    }

    /**
     * Returns the monotonic time in ms until which the previous leader may have renewed leases of
     * workers. During an outage of the store it may have done so in its grace period, as long as
     * gossip told it that this node could not reach the store either.
     */
    public long previousLeaderRenewalBoundMs() {
        long acquiredAtMs = leadership.acquiredAtMs();
        long outageMs = peerView.storeOutageGossipValidUntilMs() - acquiredAtMs;
        return acquiredAtMs + Math.max(0, Math.min(LeaderLease.gracePeriodMs(settings), outageMs));
    }

    /**
     * Returns whether heartbeats may be answered, which extends the leases of the workers.
     *
     * <p>Not with a store cache so old that a cancellation missing from it would take effect too
     * late: a leader may be able to renew its lease again and again while no write of another node
     * reaches it.
     *
     * <p>After the expiry of the leader's lease, heartbeats may be answered for a grace period,
     * provided that the store is unavailable to all nodes. If the store answers another node, that
     * node will take over, and every answer given here would only delay the worker's move to it.
     * The next leader relies on this: it does not wait for a grace period that it has not itself
     * confirmed by gossip.
     */
    public boolean canAnswerHeartbeats() {
        return !leadership.isLost()
                && progress.isLoaded()
                && storeCache.ageMs() < LeaderLease.maxStoreCacheAgeMs(settings)
                && (isLeader()
                        || (leadership.mayExtendWorkerLeases()
                                && peerView.isStoreUnavailableToAllPeers()));
    }

    /**
     * Returns whether orders that start a task may be given now. During reconciliation the only
     * waiting tasks are those that are certainly on no machine, and each team is charged with
     * everything that unresponsive machines may be running. After an expiry of the lease, the store
     * cache must first have caught up with what others wrote meanwhile, which may include a
     * cancellation that was confirmed to a user.
     */
    public boolean canStartTasks() {
        return progress.isLoaded()
                && isLeader()
                && storeCache.ageMs() < LeadershipConstants.MAX_STORE_CACHE_AGE_MS
                && leadership.isStoreCacheCaughtUp();
    }
}
