package org.shoreusher.core;

import java.util.List;
import org.shoreusher.core.gossip.GossipConstants;
import org.shoreusher.core.gossip.PeerGossip;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.machine.MachineIndex;
import org.shoreusher.core.machine.MachineTypeCatalog;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.VersionNegotiation;
import org.shoreusher.core.user.CancellationPropagation;
import org.shoreusher.core.user.UserRequests;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.LogAcknowledgement;
import org.shoreusher.standby.LogFrame;
import org.shoreusher.standby.StandbyMessage;

/**
 * The deterministic state machine that holds all state of a controller process.
 *
 * <p>{@link #step} takes a batch of commands with a reading of the clocks and returns the effects
 * to carry out. A node does no I/O, reads no clock and draws no random numbers, so equal batches
 * give equal effects. It is used by a single thread.
 */
public final class Node {
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final MachineTypeCatalog typeCatalog;
    private final VersionNegotiation versionNegotiation;
    private final Shards shards;
    private final UserRequests userRequests;
    private final CancellationPropagation cancellationPropagation;
    private final CancellationReceiver cancellationReceiver;
    private final PeerGossip peerGossip;
    private final NewJobAssignment newJobAssignment;
    private final KnownTaskCounts knownTaskCounts;
    private final HeartbeatRouter heartbeatRouter;
    private final StoreChangeRouter storeChangeRouter;

    /**
     * Creates a node that leads no shard yet.
     *
     * @param settings the deployment's settings
     * @param features the optional features that this node uses; other nodes may use different ones
     * @param processName the name of this process: HOST/SUFFIX, where no other process has ever
     *     used the suffix
     * @param shardCount the number of shards; the same on all nodes and for the lifetime of the
     *     stored data
     */
    public Node(Settings settings, Features features, String processName, int shardCount) {
        outbox = new Outbox(settings, shardCount);
        storeCache = new StoreCache(outbox, settings, this::onStoreChange);
        SubmissionBatches submissionBatches = new SubmissionBatches(settings, outbox, storeCache);
        typeCatalog = new MachineTypeCatalog(settings, outbox, storeCache);
        versionNegotiation =
                new VersionNegotiation(
                        settings, features, outbox, storeCache, processName, shardCount);
        NodeContext context =
                new NodeContext(settings, features, outbox, storeCache, versionNegotiation);
        NodeServices services =
                new NodeServices(context, submissionBatches, new MachineIndex(), typeCatalog);
        peerGossip = new PeerGossip(settings, outbox, shardCount, this::ledShard);
        shards = new Shards(shardCount, services, peerGossip, processName);
        newJobAssignment = new NewJobAssignment(peerGossip, shardCount);
        knownTaskCounts = new KnownTaskCounts(settings, outbox, shards, peerGossip);
        cancellationPropagation =
                new CancellationPropagation(context, shardCount, shards::hasValidLease);
        cancellationReceiver =
                new CancellationReceiver(storeCache, outbox, shards, cancellationPropagation);
        userRequests =
                new UserRequests(
                        context,
                        submissionBatches,
                        typeCatalog,
                        cancellationPropagation,
                        processName,
                        knownTaskCounts,
                        newJobAssignment::assign);
        heartbeatRouter = new HeartbeatRouter(services, shards, peerGossip);
        storeChangeRouter =
                new StoreChangeRouter(
                        services,
                        shards,
                        peerGossip,
                        userRequests.terminalJobs(),
                        cancellationPropagation);
    }

    private void onStoreChange(String key, StoreCache.Entry before, StoreCache.Entry after) {
        storeChangeRouter.onChange(key, before, after);
    }

    private Shard ledShard(int shardNumber) {
        return shards.ledShard(shardNumber);
    }

    /**
     * Processes a batch of commands, then does all due work.
     *
     * @param now the clocks at the start of the batch; the monotonic time never decreases between
     *     calls
     * @param batch the commands in order of arrival; may be empty
     * @return the effects, to be carried out immediately and in order
     * @throws CommandFailedException if the handling of a command fails; the effects so far are
     *     returned by the next call
     */
    public List<Effect> step(ClockReading now, List<Command> batch) {
        outbox.setNow(now);
        peerGossip.recordStart();
        for (int index = 0; index < batch.size(); index++) {
            Command command = batch.get(index);
            try {
                handle(command);
            } catch (RuntimeException e) {
                throw new CommandFailedException(command, index, e);
            }
        }
        storeCache.step();
        versionNegotiation.step();
        typeCatalog.step(shards.ledShardCount() > 0);
        shards.step();
        userRequests.step();
        if (peerGossip.sendIfDue()) {
            newJobAssignment.reset();
        }
        return outbox.drainEffects();
    }

    private void handle(Command command) {
        if (command instanceof Command.Heartbeat heartbeat) {
            heartbeatRouter.route(heartbeat);
        } else if (command instanceof Command.StoreReply storeReply) {
            outbox.onReply(storeReply);
        } else if (command instanceof Command.CloudReply cloudReply) {
            outbox.onReply(cloudReply);
        } else if (command instanceof Command.Poll poll) {
            userRequests.poll(poll.requestId(), poll.jobId());
        } else if (command instanceof Command.Submit submit) {
            userRequests.submit(
                    submit.requestId(), submit.jobId(), submit.spec(), submit.validationError());
        } else if (command instanceof Command.Cancel cancel) {
            userRequests.cancel(cancel.requestId(), cancel.jobId());
        } else if (command instanceof Command.ReadinessCheck check) {
            respondToReadinessCheck(check);
        } else if (command instanceof Command.Gossip gossip) {
            peerGossip.receive(gossip.message());
        } else if (command instanceof Command.Standby standby) {
            handleStandbyMessage(standby.message());
        } else if (command instanceof Command.Cancellation cancellation) {
            cancellationReceiver.receive(cancellation.message());
        }
        // A tick needs no handling: step() does the due work after every batch.
    }

    private void respondToReadinessCheck(Command.ReadinessCheck check) {
        if (isReady()) {
            outbox.respond(check.requestId(), new Response.Ready());
        } else {
            outbox.respondUnavailable(check.requestId());
        }
    }

    private void handleStandbyMessage(StandbyMessage message) {
        if (message instanceof LogFrame frame) {
            shards.receivedAttemptLogs().receive(frame);
        } else if (message instanceof LogAcknowledgement acknowledgement) {
            Shard shard = shards.ledShard(acknowledgement.stream().shardNumber());
            if (shard != null) {
                shard.standbyReplication().handleAcknowledgement(acknowledgement);
            }
        }
    }

    /**
     * Returns whether the load balancer should send user requests to this node. A node that can't
     * reach the key-value store while a peer can is not ready. If no node reaches the store, this
     * one stays ready, because the load balancer takes seconds to put a node back into service. A
     * node that has heard nothing of a shard's leader for long can't tell the state of jobs, and is
     * not ready while the leader can.
     */
    private boolean isReady() {
        if (!storeCache.isLoaded() || !typeCatalog.isLoaded() || knownTaskCounts.areMissing()) {
            return false;
        }
        return outbox.sinceStoreReplyMs() < GossipConstants.STORE_UNREACHABLE_TIMEOUT_MS
                || !peerGossip.anyPeerReachesStore();
    }
}
