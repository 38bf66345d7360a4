package org.shoreusher.core;

import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.gossip.GossipConstants;
import org.shoreusher.core.leadership.PeerView;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.store.Outbox;

/** Detects that most workers of a shard can't reach its leader. */
final class WorkerReachability {
    private final ShardState state;
    private final ShardAuthority authority;
    private final ShardLeadership leadership;
    private final PeerView peerView;
    private final Outbox outbox;

    WorkerReachability(
            ShardState state,
            ShardAuthority authority,
            ShardLeadership leadership,
            PeerView peerView,
            Outbox outbox) {
        this.state = state;
        this.authority = authority;
        this.leadership = leadership;
        this.peerView = peerView;
        this.outbox = outbox;
    }

    /**
     * Returns whether most workers can't reach this node although its lease is valid, as in a
     * one-way partition: after being redirected to this node they have contacted other nodes again.
     * A leader that did not step down during the partition would lose all tasks on those machines,
     * because the workers' leases would expire.
     */
    boolean isLeaderUnreachable() {
        if (!authority.isLoaded()
                || !authority.isLeader()
                || outbox.now().monotonicMs() - leadership.leaderSinceMs()
                        < GossipConstants.REDIRECTED_WORKER_RETRY_MS) {
            return false;
        }
        // This runs in every batch, so machines are counted only if some workers contacted
        // other nodes again.
        int unreachableWorkers = peerView.workersUnableToReachLeader(state.shardNumber());
        return unreachableWorkers > 1
                && unreachableWorkers
                        > Math.max(1, upMachineCount() * CoreConstants.STEP_DOWN_UNREACHABLE_SHARE);
    }

    private int upMachineCount() {
        int count = 0;
        for (Machine machine : state.machines().values()) {
            count += machine.state() == Machine.State.UP ? 1 : 0;
        }
        return count;
    }
}
