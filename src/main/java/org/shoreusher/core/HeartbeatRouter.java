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
 * Routes each heartbeat to the shard of its machine, or redirects the worker if another node leads
 * that shard.
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

    /**
     * Handles or redirects a heartbeat. Responds that the service is unavailable if there is no
     * node to redirect the worker to.
     */
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
        } else if (needsFailover(shardRecord)) {
            redirectUntilFailover(command.requestId(), shardRecord);
        } else {
            redirectToLeader(command, shardNumber, shardRecord);
        }
    }

    /**
     * Returns the number of the shard in the machine's record. A machine without a record belongs
     * to the led shard that provisioned it, or else to the shard selected by the hash of its id.
     */
    private int shardOf(String machineId) {
        MachineRecord machineRecord = machineIndex.get(machineId);
        if (machineRecord != null) {
            return machineRecord.shardNumber();
        }
        Shard shard = shards.ledShardWithMachine(machineId);
        return shard == null ? shards.shardByHash(machineId) : shard.state().shardNumber();
    }

    /**
     * Returns whether the shard needs another leader: the recorded one is a previous process of
     * this host, or is suspected to be down.
     */
    private boolean needsFailover(ShardRecord shardRecord) {
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
     * Redirects a worker to its leader. If many workers contact this node although the leader has
     * responded to them before, a partition may separate them from the leader. They are then
     * redirected to responsive nodes for a while, so that the leader can step down.
     */
    private void redirectToLeader(
            Command.Heartbeat command, int shardNumber, ShardRecord shardRecord) {
        WorkerHeartbeat heartbeat = command.workerHeartbeat();
        boolean hadResponseFromLeader = heartbeat.fencingToken() >= shardRecord.term();
        boolean awaitsFailover =
                hadResponseFromLeader
                        && peerGossip.recordRedirectedWorker(
                                shardNumber, heartbeat, machineIndex.recordsById().size());
        String leaderHost = shardRecord.leaderHost();
        String redirectHost =
                awaitsFailover ? peerGossip.interimHost(leaderHost).orElse(leaderHost) : leaderHost;
        outbox.respond(command.requestId(), new Response.Redirect(redirectHost));
    }
}
