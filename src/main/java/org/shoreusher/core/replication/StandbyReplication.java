package org.shoreusher.core.replication;

import java.util.List;
import java.util.Optional;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.leadership.PeerView;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.VersionNegotiation;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.SharedConstants;
import org.shoreusher.standby.AttemptLogSender;
import org.shoreusher.standby.LogAcknowledgement;
import org.shoreusher.standby.LogFrame;
import org.shoreusher.standby.LogStream;
import org.shoreusher.standby.StandbyChooser;
import org.shoreusher.standby.StandbySettings;

/**
 * Replicates the attempts of a shard from its leader to a standby. Does nothing when the warm
 * standby is off.
 *
 * <p>Invariant: <em>while the shard record may name a standby, no start order is sent before that
 * standby has acknowledged it.</em> A response that contains starts is held until then. Ends of
 * attempts, and responses without starts, are not held. A standby is named only after it has
 * acknowledged a snapshot and every start sent since. Starts are held from before the write that
 * names the standby is sent. When a named standby is abandoned, for example because it does not
 * acknowledge in time, its name is removed from the record, and no task is started until the store
 * has confirmed the removal.
 */
public final class StandbyReplication implements ResourceLedger.Listener {
    /** The phases of replication to a standby. */
    private enum Phase {
        /** There is no standby; starts are sent at once. */
        NO_STANDBY,
        /** A snapshot is being sent; starts are sent at once. */
        SENDING_SNAPSHOT,
        /** The snapshot is acknowledged; starts are held, earlier starts await acknowledgement. */
        CONFIRMING_STARTS,
        /** The shard record may name the standby; starts are held until acknowledged. */
        NAMED,
        /** The name is being removed from the shard record; no task is started. */
        REMOVING_NAME
    }

    /** More changes than any held response requires to be acknowledged. */
    private static final long ALL_CHANGES = Long.MAX_VALUE;

    private final ShardAuthority authority;
    private final int shardNumber;
    private final Outbox outbox;
    private final ShardLeadership leadership;
    private final VersionNegotiation versionNegotiation;
    private final PeerView peerView;

    /** Whether the warm standby is on; otherwise there is neither an attempt log nor a standby. */
    private final boolean enabled;

    private final StandbySettings settings;
    private final AttemptLogSender logSender;
    private final AttemptLogWriter logWriter;
    private final HeartbeatResponses responses;
    private final StandbyChooser standbyChooser;
    private Phase phase = Phase.NO_STANDBY;

    /** Number of changes before starts were held; all must be acknowledged to name the standby. */
    private long requiredChangeCount;

    /** Monotonic ms at which the standby was last named. */
    private long namedAtMs;

    private long nextStatisticsMs;

    /** Creates the replication of a shard that this process leads, without a standby at first. */
    public StandbyReplication(ShardContext context, PeerView peerView, ShardLeadership leadership) {
        authority = context.authority();
        shardNumber = context.state().shardNumber();
        this.peerView = peerView;
        this.leadership = leadership;
        outbox = context.outbox();
        versionNegotiation = context.nodeContext().versionNegotiation();
        enabled = context.nodeContext().features().standby() != null;
        settings = enabled ? context.nodeContext().features().standby() : StandbySettings.DEFAULTS;
        standbyChooser = new StandbyChooser(context.settings().zone());
        logSender =
                new AttemptLogSender(
                        shardNumber,
                        leadership.acquisitionTerm(),
                        leadership.processName(),
                        settings.maxFrameRecords());
        logWriter = new AttemptLogWriter(logSender);
        responses = new HeartbeatResponses(authority, outbox, settings.ackTimeoutMs());
    }

    @Override
    public void attemptAdded(TaskAttempt attempt) {
        if (enabled) {
            logWriter.writeStart(attempt);
        }
    }

    @Override
    public void attemptRemoved(TaskAttempt attempt) {
        if (enabled) {
            logWriter.writeEnd(attempt);
        }
    }

    /**
     * Whether orders may include starts in the current phase. A response with starts may be held.
     */
    public boolean canStartTasks() {
        return phase != Phase.REMOVING_NAME;
    }

    private boolean requiresAcknowledgement() {
        return phase == Phase.CONFIRMING_STARTS || phase == Phase.NAMED;
    }

    /**
     * Discards the held response to a machine's previous heartbeat. To be called when a newer
     * heartbeat has arrived: the worker no longer waits for that response.
     */
    public void discardHeldResponse(Machine machine) {
        responses.discard(machine);
    }

    /**
     * Responds to a heartbeat: at once or, if a standby has to acknowledge the starts among the
     * orders, after the acknowledgement.
     */
    public void respondOrHold(long requestId, Machine machine, List<WorkerOrder> orders) {
        if (requiresAcknowledgement() && HeartbeatResponses.containStarts(orders)) {
            responses.hold(requestId, machine, orders, logSender.changeCount());
        } else {
            responses.send(requestId, machine, orders);
        }
    }

    /** Handles an acknowledgement of the standby. */
    public void handleAcknowledgement(LogAcknowledgement acknowledgement) {
        logSender.handleAcknowledgement(acknowledgement);
    }

    /** Advances the phase, sends held responses that are acknowledged, and sends the next frame. */
    public void step() {
        if (!enabled) {
            return;
        }
        logWriter.writeDurableEnds();
        if (hasStandby() && mustAbandonStandby()) {
            abandonStandby();
        }
        switch (phase) {
            case NO_STANDBY -> tryAttach();
            case SENDING_SNAPSHOT -> awaitSnapshot();
            case CONFIRMING_STARTS -> awaitConfirmation();
            case NAMED -> standbyChooser.recordNamedFor(nowMs() - namedAtMs);
            case REMOVING_NAME -> awaitRemoval();
        }
        responses.sendAcknowledged(
                requiresAcknowledgement() ? logSender.acknowledgedChangeCount() : ALL_CHANGES);
        Optional<LogFrame> frame = logSender.nextFrame(nowMs());
        if (frame.isPresent()) {
            sendFrame(frame.get());
        }
        if (nowMs() >= nextStatisticsMs) {
            nextStatisticsMs = nowMs() + SharedConstants.STATUS_LOG_INTERVAL_MS;
            logStatistics();
        }
    }

    private boolean hasStandby() {
        return phase != Phase.NO_STANDBY && phase != Phase.REMOVING_NAME;
    }

    /**
     * Whether the standby has failed, or this leader's own attempt table may lack attempts. A
     * heartbeat that contradicts the previous leader's log restarts reconciliation, and until it is
     * complete the table is not complete either.
     */
    private boolean mustAbandonStandby() {
        return !authority.isReconciled() || logSender.hasFailed(nowMs(), settings.ackTimeoutMs());
    }

    private void sendFrame(LogFrame frame) {
        String host = LogStream.hostOf(frame.stream().standby());
        outbox.add(new Effect.SendStandbyMessage(host, frame));
    }

    private void logStatistics() {
        LogEvent event = LogEvent.of(LogEventType.STANDBY_STATISTICS).with("shard", shardNumber);
        outbox.log(responses.addStatistics(event).with("attempts", logSender.attemptCount()));
    }

    private long nowMs() {
        return outbox.now().monotonicMs();
    }

    /** Begins to replicate to the best candidate, once reconciliation is complete. */
    private void tryAttach() {
        if (!authority.isReconciled()
                || !authority.isLeader()
                || logSender.attemptCount() > settings.maxAttempts()) {
            return;
        }
        standbyChooser
                .choose(versionNegotiation.standbyCandidates(peerView::isResponsive), nowMs())
                .ifPresent(
                        candidate -> {
                            logSender.attach(candidate.processName(), nowMs());
                            phase = Phase.SENDING_SNAPSHOT;
                        });
    }

    /** Holds starts once the snapshot is acknowledged. */
    private void awaitSnapshot() {
        if (logSender.isSnapshotAcknowledged()) {
            phase = Phase.CONFIRMING_STARTS;
            requiredChangeCount = logSender.changeCount();
        }
    }

    /**
     * Names the standby in the shard record once all starts before the held ones are acknowledged.
     */
    private void awaitConfirmation() {
        if (logSender.acknowledgedChangeCount() >= requiredChangeCount) {
            phase = Phase.NAMED;
            namedAtMs = nowMs();
            leadership.nameStandby(logSender.standby());
            outbox.log(
                    LogEvent.of(LogEventType.STANDBY_IN_SYNC)
                            .with("shard", shardNumber)
                            .with("term", authority.term())
                            .with("standby", logSender.standby())
                            .with("attempts", logSender.attemptCount()));
        }
    }

    /** Stops replicating to the standby, and removes its name from the record if it was named. */
    private void abandonStandby() {
        outbox.log(
                LogEvent.of(LogEventType.STANDBY_ABANDONED)
                        .with("shard", shardNumber)
                        .with("standby", logSender.standby())
                        .with("was_in_sync", phase == Phase.NAMED));
        standbyChooser.recordFailure(logSender.standby(), nowMs());
        logSender.detach();
        if (phase == Phase.NAMED) {
            phase = Phase.REMOVING_NAME;
            leadership.nameStandby(null);
            responses.sendWithoutStarts();
        } else {
            phase = Phase.NO_STANDBY;
        }
    }

    /**
     * Permits starts again, without a standby, once the store has confirmed the removal of its
     * name.
     */
    private void awaitRemoval() {
        if (leadership.hasDefinitelyNoStandby()) {
            phase = Phase.NO_STANDBY;
        }
    }

    /** Discards all held responses, because leadership of the shard is lost. */
    public void close() {
        responses.discardAll();
    }
}
