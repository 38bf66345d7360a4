package org.shoreusher.core.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ResourceLedger;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.leadership.PeerView;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.VersionNegotiation;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.SharedConstants;
import org.shoreusher.standby.Attempt;
import org.shoreusher.standby.AttemptId;
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
 * standby has acknowledged it.</em> An answer that contains starts is held until then. Ends of
 * attempts, and answers without starts, are not held. A standby is named only after it has
 * acknowledged a snapshot and every start since. Starts are held from before the write that names
 * it is sent. A standby that does not acknowledge in time is first removed from the record. Until
 * the store has confirmed the removal, nothing is started.
 */
public final class StandbyReplication implements ResourceLedger.Listener {
    /** ms; longer durations are recorded as this one. */
    private static final long MAX_HELD_MS = 10_000;

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
        /** The name is being removed from the shard record; nothing is started. */
        REMOVING_NAME
    }

    /**
     * An answer with starts that waits for the standby's acknowledgement.
     *
     * @param lastChange the number of the change up to which all changes must be acknowledged
     * @param heldSinceMs steady ms at which it was held
     */
    private record HeldAnswer(
            long requestId, List<WorkerOrder> orders, long lastChange, long heldSinceMs) {}

    private final ShardAuthority authority;
    private final int shardNumber;
    private final Outbox outbox;
    private final ShardLeadership leadership;
    private final VersionNegotiation versionNegotiation;
    private final PeerView peerView;
    private final StandbySettings settings;
    private final AttemptLogSender logSender;
    private final StandbyChooser standbyChooser;
    private final Map<Machine, HeldAnswer> heldAnswers = new LinkedHashMap<>();

    /** Completed attempts whose completion record is not durable yet. */
    private final List<TaskAttempt> completedNotDurable = new ArrayList<>();

    private Phase phase = Phase.NO_STANDBY;
    private long changeToConfirm;
    private long namedAtMs;
    private long nextStatisticsMs;

    /** ms for which answers with starts were held, since the last statistics in the log. */
    private final Histogram heldDurationMs = new Histogram(MAX_HELD_MS, 2);

    /** Creates the replication of a shard that this process leads, without a standby at first. */
    public StandbyReplication(ShardContext context, PeerView peerView, ShardLeadership leadership) {
        authority = context.authority();
        shardNumber = context.state().shardNumber();
        this.peerView = peerView;
        this.leadership = leadership;
        outbox = context.outbox();
        versionNegotiation = context.node().versionNegotiation();
        settings = context.node().features().standby();
        standbyChooser = new StandbyChooser(context.settings().zone());
        logSender =
                settings == null
                        ? null
                        : new AttemptLogSender(
                                shardNumber,
                                leadership.acquisitionTerm(),
                                leadership.processName(),
                                settings.frameRecords());
    }

    private boolean isDisabled() {
        return logSender == null;
    }

    // ---- changes of the shard's attempts -----------------------------------------------------

    /** Replicates the start of an attempt. */
    @Override
    public void attemptAdded(TaskAttempt attempt) {
        if (!isDisabled()) {
            JobSpec spec = attempt.job().spec();
            logSender.recordStart(
                    new Attempt(
                            attemptIdOf(attempt),
                            attempt.machine().id(),
                            spec.team(),
                            spec.cpus(),
                            spec.gpus(),
                            spec.memGb()));
        }
    }

    /**
     * Replicates the end of an attempt. The completion record of a task becomes durable only with
     * the leader's next lease renewal. A new leader that found the end in the log, but no
     * completion in the store, would start the task again although a worker that has not sent it a
     * heartbeat has the result. The end of a completed attempt is therefore replicated once its
     * completion is durable.
     */
    @Override
    public void attemptRemoved(TaskAttempt attempt) {
        if (isDisabled()) {
            return;
        }
        if (isEndDurable(attempt)) {
            logSender.recordEnd(attemptIdOf(attempt));
        } else {
            completedNotDurable.add(attempt);
        }
    }

    /**
     * Whether the end can be replicated: the task did not complete, or its completion is durable.
     */
    private static boolean isEndDurable(TaskAttempt attempt) {
        Job job = attempt.job();
        return !job.completedTasks().get(attempt.taskIndex())
                || job.durablyCompletedTasks().get(attempt.taskIndex())
                || job.isClosed();
    }

    private static AttemptId attemptIdOf(TaskAttempt attempt) {
        return new AttemptId(attempt.job().id(), attempt.taskIndex(), attempt.attemptNumber());
    }

    // ---- answers to heartbeats ---------------------------------------------------------------

    /** Whether the state of replication permits starts, held or not. */
    public boolean canStartTasks() {
        return phase != Phase.REMOVING_NAME;
    }

    private boolean requiresAcknowledgement() {
        return phase == Phase.CONFIRMING_STARTS || phase == Phase.NAMED;
    }

    /**
     * Discards the held answer to a machine's previous heartbeat. A newer heartbeat has arrived, so
     * the worker does not wait for that answer any more.
     */
    public void discardHeldAnswer(Machine machine) {
        HeldAnswer superseded = heldAnswers.remove(machine);
        if (superseded != null) {
            outbox.respondUnavailable(superseded.requestId);
        }
    }

    /**
     * Answers a heartbeat: at once, or as soon as the standby has acknowledged the starts in it.
     */
    public void answerOrHold(long requestId, Machine machine, List<WorkerOrder> orders) {
        boolean containsStarts = orders.stream().anyMatch(StandbyReplication::isStart);
        if (containsStarts && requiresAcknowledgement()) {
            heldAnswers.put(
                    machine, new HeldAnswer(requestId, orders, logSender.changeCount(), nowMs()));
        } else {
            sendAnswer(requestId, machine, orders);
        }
    }

    private static boolean isStart(WorkerOrder order) {
        return order.kind() == WorkerOrder.Kind.START;
    }

    private void sendAnswer(long requestId, Machine machine, List<WorkerOrder> orders) {
        machine.worker().recordReply(outbox.now().monotonicMs());
        outbox.respond(requestId, new Response.HeartbeatAccepted(authority.term(), orders));
    }

    /**
     * Sends held answers.
     *
     * @param includeStarts true: those whose starts are acknowledged or need no acknowledgement;
     *     false: all of them, without their starts
     */
    private void releaseHeldAnswers(boolean includeStarts) {
        for (Map.Entry<Machine, HeldAnswer> entry : List.copyOf(heldAnswers.entrySet())) {
            HeldAnswer heldAnswer = entry.getValue();
            boolean isReplicated =
                    !requiresAcknowledgement()
                            || heldAnswer.lastChange <= logSender.acknowledgedChangeCount();
            if (includeStarts && !isReplicated) {
                continue;
            }
            heldAnswers.remove(entry.getKey());
            heldDurationMs.recordValue(Math.min(MAX_HELD_MS, nowMs() - heldAnswer.heldSinceMs));
            // Time has passed since the starts were decided, so the lease, the store cache and the
            // jobs are checked again.
            if (authority.canAnswerHeartbeats()) {
                sendAnswer(
                        heldAnswer.requestId,
                        entry.getKey(),
                        ordersStillValid(entry.getKey(), heldAnswer, includeStarts));
            } else {
                outbox.respondUnavailable(heldAnswer.requestId);
            }
        }
    }

    /**
     * The orders of a held answer that are still valid. After a long pause of this process the
     * answer may be older than the acknowledgement timeout; then its starts are dropped.
     */
    private List<WorkerOrder> ordersStillValid(
            Machine machine, HeldAnswer heldAnswer, boolean includeStarts) {
        boolean canStartTasks =
                includeStarts
                        && authority.canStartTasks()
                        && nowMs() - heldAnswer.heldSinceMs <= settings.ackTimeoutMs();
        return heldAnswer.orders.stream()
                .filter(
                        order ->
                                !isStart(order) || (canStartTasks && isStillWanted(machine, order)))
                .toList();
    }

    private static boolean isStillWanted(Machine machine, WorkerOrder start) {
        TaskAttempt attempt =
                machine.tasks().get(Machine.taskKey(start.jobId(), start.taskIndex()));
        return attempt != null
                && attempt.attemptNumber() == start.attemptNumber()
                && !attempt.mustStop()
                && !attempt.isBeingEvicted()
                && !attempt.job().isClosed();
    }

    // ---- the standby -------------------------------------------------------------------------

    /** Handles an acknowledgement of the standby. */
    public void handleAcknowledgement(LogAcknowledgement acknowledgement) {
        if (!isDisabled()) {
            logSender.handleAcknowledgement(acknowledgement);
        }
    }

    /** Advances the phase, sends the next frame, and sends held answers that are acknowledged. */
    public void step() {
        if (isDisabled()) {
            return;
        }
        replicateDurableEnds();
        // A heartbeat that contradicted the previous leader's log restarts reconciliation. Until it
        // is complete this leader's own attempt table is not complete either.
        boolean hasStandby = phase != Phase.NO_STANDBY && phase != Phase.REMOVING_NAME;
        if (hasStandby
                && (!authority.isReconciled()
                        || logSender.hasFailed(nowMs(), settings.ackTimeoutMs()))) {
            abandonStandby();
        }
        switch (phase) {
            case NO_STANDBY -> tryAttach();
            case SENDING_SNAPSHOT -> awaitSnapshot();
            case CONFIRMING_STARTS -> awaitConfirmation();
            case NAMED -> standbyChooser.recordNamedFor(nowMs() - namedAtMs);
            case REMOVING_NAME -> awaitRemoval();
        }
        releaseHeldAnswers(true);
        LogFrame frame = logSender.nextFrame(nowMs());
        if (frame != null) {
            String host = LogStream.hostOf(frame.stream().standby());
            outbox.add(new Effect.SendStandbyMessage(host, frame));
        }
        if (nowMs() >= nextStatisticsMs) {
            nextStatisticsMs = nowMs() + SharedConstants.STATUS_LOG_INTERVAL_MS;
            logStatistics();
        }
    }

    private void logStatistics() {
        outbox.log(
                LogEvent.of(LogEventType.STANDBY_STATISTICS)
                        .with("shard", shardNumber)
                        .with("held_answers", heldDurationMs.getTotalCount())
                        .with("median_ms", heldDurationMs.getValueAtPercentile(50))
                        .with("p99_ms", heldDurationMs.getValueAtPercentile(99))
                        .with("max_ms", heldDurationMs.getMaxValue())
                        .with("attempts", logSender.attemptCount()));
        heldDurationMs.reset();
    }

    private long nowMs() {
        return outbox.now().monotonicMs();
    }

    /** Replicates the ends of completed attempts whose completion has become durable. */
    private void replicateDurableEnds() {
        completedNotDurable.removeIf(
                attempt -> {
                    boolean isDurable = isEndDurable(attempt);
                    if (isDurable) {
                        logSender.recordEnd(attemptIdOf(attempt));
                    }
                    return isDurable;
                });
    }

    /** Begins to replicate to the best candidate, once all attempts on machines are known. */
    private void tryAttach() {
        if (!authority.isReconciled()
                || !authority.isLeader()
                || logSender.attemptCount() > settings.mostAttempts()) {
            return;
        }
        StandbyChooser.Candidate candidate =
                standbyChooser.choose(
                        versionNegotiation.standbyCandidates(peerView::isResponsive), nowMs());
        if (candidate != null) {
            logSender.attach(candidate.processName(), nowMs());
            phase = Phase.SENDING_SNAPSHOT;
        }
    }

    /** Holds starts once the snapshot is acknowledged. */
    private void awaitSnapshot() {
        if (logSender.isSnapshotAcknowledged()) {
            phase = Phase.CONFIRMING_STARTS;
            changeToConfirm = logSender.changeCount();
        }
    }

    /** Names the standby in the shard record once all earlier starts are acknowledged. */
    private void awaitConfirmation() {
        if (logSender.acknowledgedChangeCount() >= changeToConfirm) {
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
            releaseHeldAnswers(false);
        } else {
            phase = Phase.NO_STANDBY;
        }
    }

    /**
     * Sends starts without a standby again once the store has confirmed the removal of its name.
     */
    private void awaitRemoval() {
        if (leadership.hasDefinitelyNoStandby()) {
            phase = Phase.NO_STANDBY;
        }
    }

    /** Drops all held answers, because leadership of the shard is lost. */
    public void close() {
        heldAnswers.values().forEach(heldAnswer -> outbox.respondUnavailable(heldAnswer.requestId));
        heldAnswers.clear();
    }
}
