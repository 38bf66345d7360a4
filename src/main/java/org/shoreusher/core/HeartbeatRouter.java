package org.shoreusher.core;

import org.shoreusher.core.gossip.PeerGossip;
import org.shoreusher.core.machine.MachineIndex;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.settings.Settings;

/**
 * Passes heartbeats to the shard of their machine, and redirects those of shards that other nodes
 * lead.
 */
final class HeartbeatRouter {
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final MachineIndex machineIndex;
    private final Shards shards;
    private final PeerGossip peerGossip;

    HeartbeatRouter(NodeServices services, Shards shards, PeerGossip peerGossip) {
        NodeContext context = services.context();
        settings = context.settings();
        outbox = context.outbox();
        storeCache = context.storeCache();
        machineIndex = services.machineIndex();
        this.shards = shards;
        this.peerGossip = peerGossip;
    }

    /** Handles or redirects a heartbeat. */
    void route(Command.Heartbeat command) {
        int shardNumber = shardOf(command.workerHeartbeat().machineId());
        Shard shard = shards.ledShard(shardNumber);
        if (shard != null) {
            shard.heartbeatHandler().handle(command.requestId(), command.workerHeartbeat());
            return;
        }
        ShardRecord shardRecord = storeCache.isLoaded() ? shards.shardRecord(shardNumber) : null;
        if (shardRecord == null) {
            outbox.respondUnavailable(command.requestId());
        } else if (hasLostLeader(shardRecord)) {
            redirectUntilFailover(command.requestId(), shardRecord);
        } else {
            redirectToLeader(command, shardNumber, shardRecord);
        }
    }

    /**
     * Returns the shard that a machine's record names. A machine without a record belongs to the
     * led shard that provisioned it, or else to the shard that the hash of its name selects.
     */
    private int shardOf(String machineId) {
        MachineRecord machineRecord = machineIndex.get(machineId);
        if (machineRecord != null) {
            return machineRecord.shardNumber();
        }
        Shard shard = shards.ledShardWithMachine(machineId);
        return shard == null ? shards.shardByHash(machineId) : shard.state().shardNumber();
    }

    /** Returns whether the leader is a former process of this host, or suspected to be down. */
    private boolean hasLostLeader(ShardRecord shardRecord) {
        return shardRecord.leaderHost().equals(settings.host())
                || peerGossip.isSuspectedDown(shardRecord);
    }

    private void redirectUntilFailover(long requestId, ShardRecord shardRecord) {
        peerGossip
                .interimHost(shardRecord.leaderHost())
                .ifPresentOrElse(
                        host -> outbox.respond(requestId, new Response.Redirect(host)),
                        () -> outbox.respondUnavailable(requestId));
    }

    /**
     * Redirects a worker to its leader. If many workers that have been answered by the leader come
     * here, a partition may separate them from it. They are then kept between the responsive nodes
     * for a moment, in which the leader may step down.
     */
    private void redirectToLeader(
            Command.Heartbeat command, int shardNumber, ShardRecord shardRecord) {
        WorkerHeartbeat heartbeat = command.workerHeartbeat();
        boolean awaitsFailover =
                heartbeat.fencingToken() >= shardRecord.term()
                        && peerGossip.recordRedirectedWorker(
                                shardNumber, heartbeat, machineIndex.recordsById().size());
        String leaderHost = shardRecord.leaderHost();
        String redirectHost =
                awaitsFailover ? peerGossip.interimHost(leaderHost).orElse(leaderHost) : leaderHost;
        outbox.respond(command.requestId(), new Response.Redirect(redirectHost));
    }
}
