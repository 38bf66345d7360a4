package org.shoreusher.core.leadership;

import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.settings.Settings;

/**
 * What the leader of a shard may currently do, according to its lease, the age of its store cache,
 * and the progress of reconciliation.
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
     * @param context the objects that all parts of the node share
     * @param peerView information from gossip about other nodes
     * @param leadership the acquired leadership
     * @param progress the progress of reconciliation
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

    /** Returns whether the leadership has ended permanently. */
    public boolean isLeadershipLost() {
        return leadership.isLost();
    }

    /** Returns the leader's current term, which workers receive as the fencing token. */
    public long term() {
        return leadership.term();
    }

    /** Returns the term of the acquisition; {@link #term} may have been raised since. */
    public long acquisitionTerm() {
        return leadership.acquisitionTerm();
    }

    /** Raises the term above a fencing token that a worker has received from another leader. */
    public void raiseTerm(long observedToken) {
        leadership.raiseTerm(observedToken);
    }

    /** Returns whether the shard's stored state has been loaded. */
    public boolean isLoaded() {
        return progress.isLoaded();
    }

    /**
     * Returns whether reconciliation is complete: for every task it is known whether it runs, and
     * where.
     */
    public boolean isReconciled() {
        return progress.isComplete();
    }

    /**
     * Returns the monotonic time in ms until which the previous leader may have extended leases of
     * workers. During an outage of the store it may have done so in its grace period, while it
     * could rely on gossip from this node that the store was unavailable to this node too.
     */
    public long previousLeaderRenewalBoundMs() {
        long acquiredAtMs = leadership.acquiredAtMs();
        long outageMs = peerView.storeOutageGossipValidUntilMs() - acquiredAtMs;
        return acquiredAtMs + Math.max(0, Math.min(LeaderLease.gracePeriodMs(settings), outageMs));
    }

    /**
     * Returns whether heartbeats may be answered, which extends the leases of the workers. Requires
     * that the leadership is not lost, that the shard's stored state is loaded, and the following.
     *
     * <p>The store cache must not be so old that a cancellation missing from it would take effect
     * too late: a leader may be able to renew its lease repeatedly while its store cache receives
     * no write of other nodes.
     *
     * <p>While the leader's lease is valid, nothing else is required. After its expiry, heartbeats
     * may be answered for a grace period, provided that recent gossip from every other member
     * reports that the store is unavailable to that member too. If the store is available to
     * another node, that node will acquire the shard, and every response from this one would only
     * delay the worker's move to it. The successor relies on this condition: it waits for the grace
     * period only as long as its own gossip, in which it reported the outage, may still be relied
     * on.
     */
    public boolean canRespondToHeartbeats() {
        return !leadership.isLost()
                && progress.isLoaded()
                && storeCache.ageMs() < LeaderLease.maxStoreCacheAgeMs(settings)
                && (isLeader()
                        || (leadership.mayExtendWorkerLeases()
                                && peerView.isStoreUnavailableToAllPeers()));
    }

    /**
     * Returns whether orders that start a task may be given now. During reconciliation the only
     * pending tasks are those that are certainly on no machine, and each team is charged with
     * everything that unresponsive machines may be running. After an expiry of the lease, the store
     * cache must first contain what other nodes wrote in the meantime, which may include a
     * cancellation that was confirmed to a user.
     */
    public boolean canStartTasks() {
        return progress.isLoaded()
                && isLeader()
                && storeCache.ageMs() < LeadershipConstants.MAX_STORE_CACHE_AGE_MS
                && leadership.isStoreCacheCaughtUp();
    }
}
