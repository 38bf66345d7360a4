package org.shoreusher.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.shoreusher.settings.Tuning;
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
final class AttemptReplication implements ResourceLedger.Listener {
    /** ms; longer durations are recorded as this one. */
    private static final long LONGEST_HELD_MS = 10_000;

    /** The phases of replication to a standby. */
    private enum Phase {
        /** There is no standby; starts are sent at once. */
        ALONE,
        /** A snapshot is being sent; starts are sent at once. */
        SNAPSHOT,
        /** The snapshot is acknowledged; starts are held, earlier starts await acknowledgement. */
        CONFIRMING,
        /** The shard record may name the standby; starts are held until acknowledged. */
        NAMED,
        /** The name is being removed from the shard record; nothing is started. */
        REMOVING
    }

    /**
     * An answer with starts that waits for the standby's acknowledgement.
     *
     * @param change the number of the change up to which all changes must be acknowledged
     * @param sinceMs steady ms at which it was held
     */
    private record HeldAnswer(long request, List<WorkerOrder> orders, long change, long sinceMs) {}

    private final Part part;
    private final Outbox outbox;
    private final PartOwnership ownership;
    private final MemberFormats formats;
    private final Part.Others others;
    private final StandbySettings settings;
    private final AttemptLogSender sender;
    private final StandbyChooser chooser;
    private final Map<Machine, HeldAnswer> held = new LinkedHashMap<>();

    /** Completed attempts whose completion record is not durable yet. */
    private final List<TaskAttempt> notDurable = new ArrayList<>();

    private Phase phase = Phase.ALONE;
    private long confirmChange;
    private long namedAtMs;
    private long nextLineMs;

    /** ms for which answers with starts were held, since the last statistics in the log. */
    private final Histogram heldMs = new Histogram(LONGEST_HELD_MS, 2);

    /** Creates the replication of a shard that this process leads, without a standby at first. */
    AttemptReplication(
            Part part, NodeContext context, Part.Others others, PartOwnership ownership) {
        this.part = part;
        this.others = others;
        this.ownership = ownership;
        outbox = context.outbox();
        formats = context.versionNegotiation();
        settings = context.features().standby();
        chooser = new StandbyChooser(context.settings().zone());
        sender =
                settings == null
                        ? null
                        : new AttemptLogSender(
                                part.shardNumber,
                                ownership.acquisitionTerm(),
                                ownership.processName(),
                                settings.frameRecords());
    }

    private boolean off() {
        return sender == null;
    }

    // ---- changes of the shard's attempts -----------------------------------------------------

    /** Replicates the start of an attempt. */
    @Override
    public void added(TaskAttempt live) {
        if (!off()) {
            JobSpec spec = live.job.spec;
            sender.started(
                    new Attempt(
                            idOf(live),
                            live.machine.id,
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
    public void removed(TaskAttempt live) {
        if (off()) {
            return;
        }
        if (durable(live)) {
            sender.ended(idOf(live));
        } else {
            notDurable.add(live);
        }
    }

    /**
     * Whether the end can be replicated: the task did not complete, or its completion is durable.
     */
    private static boolean durable(TaskAttempt live) {
        Job job = live.job;
        return !job.done.get(live.index) || job.durable.get(live.index) || job.closed;
    }

    private static AttemptId idOf(TaskAttempt live) {
        return new AttemptId(live.job.id, live.index, live.attempt);
    }

    // ---- answers to heartbeats ---------------------------------------------------------------

    /** Whether the state of replication permits starts, held or not. */
    boolean mayStart() {
        return phase != Phase.REMOVING;
    }

    private boolean holdsStarts() {
        return phase == Phase.CONFIRMING || phase == Phase.NAMED;
    }

    /**
     * Discards the held answer to a machine's previous heartbeat. A newer heartbeat has arrived, so
     * the worker does not wait for that answer any more.
     */
    void newReport(Machine m) {
        HeldAnswer late = held.remove(m);
        if (late != null) {
            outbox.respondUnavailable(late.request);
        }
    }

    /**
     * Answers a heartbeat: at once, or as soon as the standby has acknowledged the starts in it.
     */
    void answer(long request, Machine m, List<WorkerOrder> orders) {
        boolean starts = orders.stream().anyMatch(AttemptReplication::isStart);
        if (starts && holdsStarts()) {
            held.put(m, new HeldAnswer(request, orders, sender.changes(), nowMs()));
        } else {
            send(request, m, orders);
        }
    }

    private static boolean isStart(WorkerOrder order) {
        return order.kind() == WorkerOrder.Kind.START;
    }

    private void send(long request, Machine m, List<WorkerOrder> orders) {
        m.repliedAtMs = outbox.now.monotonicMs();
        m.answeredAtMs = outbox.now.monotonicMs();
        outbox.respond(request, new Response.Orders(part.term(), orders));
    }

    /**
     * Sends held answers.
     *
     * @param withStarts true: those whose starts are acknowledged or need no acknowledgement;
     *     false: all of them, without their starts
     */
    private void release(boolean withStarts) {
        for (Map.Entry<Machine, HeldAnswer> e : List.copyOf(held.entrySet())) {
            HeldAnswer answer = e.getValue();
            boolean known = !holdsStarts() || answer.change <= sender.changesAcknowledged();
            if (withStarts && !known) {
                continue;
            }
            held.remove(e.getKey());
            heldMs.recordValue(Math.min(LONGEST_HELD_MS, nowMs() - answer.sinceMs));
            // Time has passed since the starts were decided, so the lease, the store cache and the
            // jobs are checked again.
            if (part.canAnswerHeartbeats()) {
                send(answer.request, e.getKey(), stillDue(e.getKey(), answer, withStarts));
            } else {
                outbox.respondUnavailable(answer.request);
            }
        }
    }

    /**
     * The orders of a held answer that are still valid. After a long pause of this process the
     * answer may be older than the acknowledgement timeout; then its starts are dropped.
     */
    private List<WorkerOrder> stillDue(Machine m, HeldAnswer answer, boolean withStarts) {
        boolean mayStart =
                withStarts
                        && part.canStartTasks()
                        && nowMs() - answer.sinceMs <= settings.ackTimeoutMs();
        return answer.orders.stream()
                .filter(order -> !isStart(order) || (mayStart && wanted(m, order)))
                .toList();
    }

    private static boolean wanted(Machine m, WorkerOrder start) {
        TaskAttempt live = m.tasks.get(Machine.taskKey(start.job(), start.index()));
        return live != null
                && live.attempt == start.attempt()
                && !live.mustStop
                && !live.stopping
                && !live.job.closed;
    }

    // ---- the standby -------------------------------------------------------------------------

    /** Handles an acknowledgement of the standby. */
    void acknowledged(LogAcknowledgement answer) {
        if (!off()) {
            sender.acknowledged(answer);
        }
    }

    /** Advances the phase, sends the next frame, and sends held answers that are acknowledged. */
    void step() {
        if (off()) {
            return;
        }
        tellDurable();
        // A heartbeat that contradicted the previous leader's log restarts reconciliation. Until it
        // is complete this leader's own attempt table is not complete either.
        boolean follows = phase != Phase.ALONE && phase != Phase.REMOVING;
        if (follows && (!part.isReconciled() || sender.failed(nowMs(), settings.ackTimeoutMs()))) {
            giveUp();
        }
        switch (phase) {
            case ALONE -> attach();
            case SNAPSHOT -> confirm();
            case CONFIRMING -> name();
            case NAMED -> chooser.standing(nowMs() - namedAtMs);
            case REMOVING -> goOnAlone();
        }
        release(true);
        LogFrame frame = sender.poll(nowMs());
        if (frame != null) {
            String host = LogStream.hostOf(frame.stream().standby());
            outbox.add(new Effect.SendToPeer(host, frame));
        }
        if (nowMs() >= nextLineMs) {
            nextLineMs = nowMs() + Tuning.STATUS_LINE_MS;
            line();
        }
    }

    private void line() {
        outbox.logDebug(
                "standby: held "
                        + heldMs.getTotalCount()
                        + " answers with starts, median "
                        + heldMs.getValueAtPercentile(50)
                        + " ms, 99% "
                        + heldMs.getValueAtPercentile(99)
                        + " ms, most "
                        + heldMs.getMaxValue()
                        + " ms; "
                        + sender.attempts()
                        + " attempts in the log");
        heldMs.reset();
    }

    private long nowMs() {
        return outbox.now.monotonicMs();
    }

    /** Replicates the ends of completed attempts whose completion has become durable. */
    private void tellDurable() {
        notDurable.removeIf(
                live -> {
                    boolean durable = durable(live);
                    if (durable) {
                        sender.ended(idOf(live));
                    }
                    return durable;
                });
    }

    /** Begins to replicate to the best candidate, once all attempts on machines are known. */
    private void attach() {
        if (!part.isReconciled()
                || !part.isLeader()
                || sender.attempts() > settings.mostAttempts()) {
            return;
        }
        StandbyChooser.Candidate candidate =
                chooser.choose(formats.standbyCandidates(others::isResponsive), nowMs());
        if (candidate != null) {
            sender.attach(candidate.process(), nowMs());
            phase = Phase.SNAPSHOT;
        }
    }

    /** Holds starts once the snapshot is acknowledged. */
    private void confirm() {
        if (sender.snapshotAcknowledged()) {
            phase = Phase.CONFIRMING;
            confirmChange = sender.changes();
        }
    }

    /** Names the standby in the shard record once all earlier starts are acknowledged. */
    private void name() {
        if (sender.changesAcknowledged() >= confirmChange) {
            phase = Phase.NAMED;
            namedAtMs = nowMs();
            ownership.nameStandby(sender.standby());
            outbox.logInfo(
                    "standby: part "
                            + part.shardNumber
                            + " term "
                            + part.term()
                            + ", "
                            + sender.standby()
                            + " is in sync with "
                            + sender.attempts()
                            + " attempts");
        }
    }

    /** Stops replicating to the standby, and removes its name from the record if it was named. */
    private void giveUp() {
        outbox.logInfo(
                "standby: part "
                        + part.shardNumber
                        + " gives "
                        + sender.standby()
                        + " up, "
                        + (phase == Phase.NAMED ? "it was in sync" : "it was not yet in sync"));
        chooser.failed(sender.standby(), nowMs());
        sender.detach();
        if (phase == Phase.NAMED) {
            phase = Phase.REMOVING;
            ownership.nameStandby(null);
            release(false);
        } else {
            phase = Phase.ALONE;
        }
    }

    /**
     * Sends starts without a standby again once the store has confirmed the removal of its name.
     */
    private void goOnAlone() {
        if (ownership.hasDefinitelyNoStandby()) {
            phase = Phase.ALONE;
        }
    }

    /** Drops all held answers, because leadership of the shard is lost. */
    void close() {
        held.values().forEach(answer -> outbox.respondUnavailable(answer.request));
        held.clear();
    }
}
