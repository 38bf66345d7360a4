package org.shoreusher.core;

import java.util.Arrays;
import java.util.List;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.gossip.GossipConstants;
import org.shoreusher.core.gossip.PeerGossip;
import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.machine.MachineIndex;
import org.shoreusher.core.machine.MachineTypeCatalog;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.store.JobRecord;
import org.shoreusher.core.store.JobStatus;
import org.shoreusher.core.store.MachineRecord;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.ShardRecord;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.StoreSchema;
import org.shoreusher.core.store.VersionNegotiation;
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
    private final Settings settings;
    private final Outbox outbox;
    private final StoreCache storeCache;
    private final MachineIndex machineIndex = new MachineIndex();
    private final SubmissionBatches submissionBatches;
    private final MachineTypeCatalog machineTypes;
    private final VersionNegotiation versionNegotiation;
    private final Shards shards;
    private final UserRequests userRequests;
    private final PeerGossip peerGossip;

    /** CPUs of jobs assigned to each shard since this node last sent gossip. */
    private final double[] assignedCpus;

    /**
     * Creates a node that leads no shard yet.
     *
     * @param settings the deployment's settings
     * @param features the optional features that this node uses; other nodes may use different ones
     * @param processName the name of this process: the host name, a slash, and a suffix that no
     *     other process has ever used
     * @param shardCount the number of shards; the same on all nodes and for the lifetime of the
     *     stored data
     */
    public Node(Settings settings, Features features, String processName, int shardCount) {
        this.settings = settings;
        assignedCpus = new double[shardCount];
        outbox = new Outbox(settings, shardCount);
        storeCache = new StoreCache(outbox, settings, this::onStoreChange);
        submissionBatches = new SubmissionBatches(settings, outbox, storeCache);
        machineTypes = new MachineTypeCatalog(settings, outbox, storeCache);
        versionNegotiation =
                new VersionNegotiation(
                        settings, features, outbox, storeCache, processName, shardCount);
        peerGossip = new PeerGossip(settings, outbox, shardCount, this::ledShard);
        NodeContext context =
                new NodeContext(settings, features, outbox, storeCache, versionNegotiation);
        NodeServices services =
                new NodeServices(context, submissionBatches, machineIndex, machineTypes);
        shards = new Shards(shardCount, services, peerGossip, processName);
        userRequests =
                new UserRequests(
                        context,
                        submissionBatches,
                        machineTypes,
                        processName,
                        this::taskCounts,
                        this::shardWithMostHeadroom);
    }

    private Shard ledShard(int shardNumber) {
        return shards.ledShard(shardNumber);
    }

    /**
     * Processes a batch of commands, then all work that is due.
     *
     * @param now the clocks at the start of the batch; the monotonic time never decreases from call
     *     to call
     * @param batch the commands in order of arrival; may be empty
     * @return the effects, to be carried out at once and in order
     */
    public List<Effect> step(ClockReading now, List<Command> batch) {
        outbox.setNow(now);
        peerGossip.noteStart();
        for (Command command : batch) {
            handle(command);
        }
        storeCache.step();
        versionNegotiation.step();
        machineTypes.step(shards.ledShardCount() > 0);
        shards.step();
        userRequests.step();
        if (peerGossip.sendIfDue()) {
            Arrays.fill(assignedCpus, 0);
        }
        return outbox.drainEffects();
    }

    private void handle(Command command) {
        if (command instanceof Command.Heartbeat r) {
            handleHeartbeat(r);
        } else if (command instanceof Command.StoreReply r) {
            outbox.onReply(r);
        } else if (command instanceof Command.Poll p) {
            userRequests.poll(p.requestId(), p.jobId());
        } else if (command instanceof Command.Submit s) {
            userRequests.submit(s.requestId(), s.jobId(), s.spec(), s.validationError());
        } else if (command instanceof Command.Cancel c) {
            userRequests.cancel(c.requestId(), c.jobId());
        } else if (command instanceof Command.ReadinessCheck r) {
            if (isReady()) {
                outbox.respond(r.requestId(), new Response.Ready());
            } else {
                outbox.respondUnavailable(r.requestId());
            }
        } else if (command instanceof Command.CloudReply r) {
            outbox.onReply(r);
        } else if (command instanceof Command.Gossip p) {
            peerGossip.receive(p.message());
        } else if (command instanceof Command.Standby p) {
            handleStandbyMessage(p.message());
        }
    }

    private void handleStandbyMessage(StandbyMessage message) {
        if (message instanceof LogFrame frame) {
            shards.standbyReplicas().receive(frame);
        } else if (message instanceof LogAcknowledgement acknowledgement) {
            Shard shard = shards.ledShard(acknowledgement.stream().shardNumber());
            if (shard != null) {
                shard.standbyReplication().handleAcknowledgement(acknowledgement);
            }
        }
    }

    /**
     * Returns whether the load balancer should send users to this node. A node that alone can't
     * reach the key-value store reports that it is not ready. If no node reaches the store, this
     * one stays ready, because the load balancer takes seconds to bring a node back.
     */
    private boolean isReady() {
        if (!storeCache.isLoaded() || !machineTypes.isLoaded()) {
            return false;
        }
        return outbox.sinceStoreReplyMs() < GossipConstants.READINESS_STORE_TIMEOUT_MS
                || !peerGossip.anyPeerReachesStore();
    }

    private void handleHeartbeat(Command.Heartbeat command) {
        String machineId = command.workerHeartbeat().machineId();
        MachineRecord machineRecord = machineIndex.get(machineId);
        int shardNumber =
                machineRecord == null
                        ? shardOfUnrecordedMachine(machineId)
                        : machineRecord.shardNumber();
        Shard shard = shards.ledShard(shardNumber);
        if (shard != null) {
            shard.heartbeatHandler().handle(command.requestId(), command.workerHeartbeat());
            return;
        }
        ShardRecord shardRecord = storeCache.isLoaded() ? shards.shardRecord(shardNumber) : null;
        if (shardRecord == null) {
            outbox.respondUnavailable(command.requestId());
        } else if (shardRecord.leaderHost().equals(settings.host())
                || peerGossip.isSuspectedDown(shardRecord)) {
            String redirectHost = peerGossip.interimHost(shardRecord.leaderHost());
            if (redirectHost == null) {
                outbox.respondUnavailable(command.requestId());
            } else {
                outbox.respond(command.requestId(), new Response.Redirect(redirectHost));
            }
        } else {
            boolean awaitFailover =
                    command.workerHeartbeat().fencingToken() >= shardRecord.term()
                            && peerGossip.recordRedirectedWorker(
                                    shardNumber,
                                    command.workerHeartbeat(),
                                    machineIndex.recordsById().size());
            String redirectHost =
                    awaitFailover ? peerGossip.interimHost(shardRecord.leaderHost()) : null;
            outbox.respond(
                    command.requestId(),
                    new Response.Redirect(
                            redirectHost == null ? shardRecord.leaderHost() : redirectHost));
        }
    }

    /**
     * Returns the shard of a machine without a record: the led shard that provisioned it, or else
     * the shard that the hash of its name selects.
     */
    private int shardOfUnrecordedMachine(String machineId) {
        for (int shardNumber = 0; shardNumber < shards.shardCount(); shardNumber++) {
            if (shards.ledShard(shardNumber) != null
                    && shards.ledShard(shardNumber).state().machines().containsKey(machineId)) {
                return shardNumber;
            }
        }
        return shards.shardByHash(machineId);
    }

    private void onStoreChange(String key, StoreCache.Entry before, StoreCache.Entry after) {
        versionNegotiation.onStoreChange(key);
        if (key.startsWith(StoreSchema.JOB_PREFIX)) {
            if (after != null) {
                String jobId = key.substring(StoreSchema.JOB_PREFIX.length());
                submissionBatches.ownRecordCreated(jobId);
                onJobRecordChange(jobId, JobRecord.fromMap(after.value()));
            }
        } else if (key.startsWith(StoreSchema.SUBMISSION_BATCH_PREFIX)) {
            submissionBatches.batchChanged(key, after, this::onJobRecordChange);
        } else if (key.startsWith(StoreSchema.SHARD_PREFIX)
                && key.indexOf('/', StoreSchema.SHARD_PREFIX.length()) < 0
                && after != null) {
            int shardNumber = Integer.parseInt(key.substring(StoreSchema.SHARD_PREFIX.length()));
            ShardRecord shardRecord = ShardRecord.fromMap(after.value());
            if (before == null
                    || !ShardRecord.fromMap(before.value()).leader().equals(shardRecord.leader())) {
                peerGossip.leaderChanged(shardNumber);
            }
            shards.onShardRecordChange(shardNumber, shardRecord);
        } else if (key.startsWith(StoreSchema.MACHINE_PREFIX)) {
            machineIndex.updateGroup(key, after, this::onMachineRecordChange);
        } else if (key.equals(StoreSchema.MACHINE_TYPES_KEY) && after != null) {
            machineTypes.loadFromStore(after.value());
        }
    }

    private void onMachineRecordChange(String machineId, MachineRecord record) {
        for (int shardNumber = 0; shardNumber < shards.shardCount(); shardNumber++) {
            if (shards.ledShard(shardNumber) != null) {
                shards.ledShard(shardNumber).machineLifecycle().applyRecord(machineId, record);
            }
        }
    }

    private void onJobRecordChange(String jobId, JobRecord record) {
        for (int shardNumber = 0; shardNumber < shards.shardCount(); shardNumber++) {
            Shard shard = shards.ledShard(shardNumber);
            if (shard != null && shardNumber == record.shardNumber()) {
                shard.openJobs().recordChanged(jobId, record);
            } else if (shard != null) {
                // Two nodes may have accepted the job for different shards; the job's own record
                // decides.
                shard.openJobs().close(jobId);
            }
        }
        if (record.status() == JobStatus.DONE) {
            userRequests.terminalJobs().jobCompleted(jobId, record);
        } else if (record.status() == JobStatus.CANCELLED) {
            userRequests.terminalJobs().jobCancelled(jobId);
        }
    }

    // ---- gossip ------------------------------------------------------------------------------

    private Response.TaskCounts taskCounts(String jobId) {
        for (int shardNumber = 0; shardNumber < shards.shardCount(); shardNumber++) {
            Shard shard = shards.ledShard(shardNumber);
            Job job = shard == null ? null : shard.jobs().get(jobId);
            if (job != null) {
                return new Response.TaskCounts(
                        job.completedTasks().cardinality(), job.activeAttempts().size());
            }
        }
        return peerGossip.taskCounts(jobId);
    }

    /**
     * Returns the shard with the most headroom for a new job, and counts the job against that
     * headroom until the next gossip round.
     */
    private int shardWithMostHeadroom(JobSpec spec) {
        int bestShard = 0;
        double mostHeadroom = Double.NEGATIVE_INFINITY;
        for (int shardNumber = 0; shardNumber < shards.shardCount(); shardNumber++) {
            ShardSummary summary = peerGossip.shardSummary(shardNumber);
            GossipMessage.TeamDemand teamDemand =
                    summary == null ? null : summary.teamDemands().get(spec.team());
            // Jobs of one team are kept in one shard where possible, so that the team's quota is
            // not split.
            double headroom =
                    (summary == null
                                    ? CoreConstants.UNKNOWN_SHARD_HEADROOM_CPUS
                                    : summary.cpuHeadroom())
                            - assignedCpus[shardNumber]
                            + (teamDemand == null
                                    ? 0
                                    : CoreConstants.TEAM_AFFINITY_WEIGHT
                                            * (teamDemand.highPriorityCpus()
                                                    + teamDemand.otherCpus()));
            if (headroom > mostHeadroom) {
                mostHeadroom = headroom;
                bestShard = shardNumber;
            }
        }
        assignedCpus[bestShard] += spec.taskCount() * spec.cpus();
        return bestShard;
    }
}
