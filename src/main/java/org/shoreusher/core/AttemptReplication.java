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
 * Keeps a standby in step with what an owner starts. Inert when the feature is off.
 *
 * <p>Invariant: <em>while a standby's name may stand in the part's record, no start leaves without
 * that standby's acknowledgement.</em> An answer that contains starts is held until then; ends, and
 * answers without starts, are not. A standby is named only after it has acknowledged a snapshot and
 * every start since, and starts are held from before the write that names it is sent. One that does
 * not answer in time is removed from the record first; until that is known to be applied, nothing
 * starts.
 */
final class AttemptReplication implements ResourceLedger.Listener {
    /** ms; longer times count as this. */
    private static final long LONGEST_HELD_MS = 10_000;

    /** How far the owner and a standby have come. */
    private enum Phase {
        /** There is no standby; starts leave at once. */
        ALONE,
        /** A snapshot is being sent; starts leave at once. */
        SNAPSHOT,
        /** The snapshot has arrived; starts are held, and those that left before are confirmed. */
        CONFIRMING,
        /** The name may stand in the record; starts are held until they are acknowledged. */
        NAMED,
        /** The name is being removed from the record; nothing starts. */
        REMOVING
    }

    /** An answer with starts that waits for the standby to acknowledge the changes up to one. */
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

    /** Completed attempts whose completion is not yet durable. */
    private final List<TaskAttempt> notDurable = new ArrayList<>();

    private Phase phase = Phase.ALONE;
    private long confirmChange;
    private long namedAtMs;
    private long nextLineMs;

    /** ms for which answers with starts were held since the last line about them. */
    private final Histogram heldMs = new Histogram(LONGEST_HELD_MS, 2);

    AttemptReplication(
            Part part, NodeContext context, Part.Others others, PartOwnership ownership) {
        this.part = part;
        this.others = others;
        this.ownership = ownership;
        outbox = context.outbox();
        formats = context.formats();
        settings = context.features().standby();
        chooser = new StandbyChooser(context.settings().zone());
        sender =
                settings == null
                        ? null
                        : new AttemptLogSender(
                                part.number,
                                ownership.takenTerm(),
                                ownership.owner(),
                                settings.frameRecords());
    }

    private boolean off() {
        return sender == null;
    }

    // ---- what happens in the part ------------------------------------------------------------

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
     * A completed task is durable only with the next heartbeat. A taker that reads from the log
     * that it has ended, and finds it nowhere in the store, would start it again while its silent
     * worker holds the result; so its end is told once it is durable.
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

    private static boolean durable(TaskAttempt live) {
        Job job = live.job;
        return !job.done.get(live.index) || job.durable.get(live.index) || job.closed;
    }

    private static AttemptId idOf(TaskAttempt live) {
        return new AttemptId(live.job.id, live.index, live.attempt);
    }

    // ---- answers -----------------------------------------------------------------------------

    /** Whether anything may be started as far as the standby is concerned. */
    boolean mayStart() {
        return phase != Phase.REMOVING;
    }

    private boolean holdsStarts() {
        return phase == Phase.CONFIRMING || phase == Phase.NAMED;
    }

    /**
     * A newer report of a machine is here: what was to answer the one before never leaves, since
     * the newer one shows that it has not arrived.
     */
    void newReport(Machine m) {
        HeldAnswer late = held.remove(m);
        if (late != null) {
            outbox.answerUnavailable(late.request);
        }
    }

    /** Answers a report, at once or as soon as the standby knows the starts in it. */
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
        m.repliedAtMs = outbox.now.steadyMs();
        m.answeredAtMs = outbox.now.steadyMs();
        outbox.answer(request, new Response.Orders(part.term(), orders));
    }

    /** Sends held answers whose starts the standby knows, or need not know. */
    private void release(boolean withStarts) {
        for (Map.Entry<Machine, HeldAnswer> e : List.copyOf(held.entrySet())) {
            HeldAnswer answer = e.getValue();
            boolean known = !holdsStarts() || answer.change <= sender.changesAcknowledged();
            if (withStarts && !known) {
                continue;
            }
            held.remove(e.getKey());
            heldMs.recordValue(Math.min(LONGEST_HELD_MS, nowMs() - answer.sinceMs));
            // Time has passed since the starts were decided: the lease, the view and the job are
            // looked at again.
            if (part.mayAnswer()) {
                send(answer.request, e.getKey(), stillDue(e.getKey(), answer, withStarts));
            } else {
                outbox.answerUnavailable(answer.request);
            }
        }
    }

    /** A process that stood still may find its answer older than any standby may take. */
    private List<WorkerOrder> stillDue(Machine m, HeldAnswer answer, boolean withStarts) {
        boolean mayStart =
                withStarts
                        && part.mayStart()
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

    /** The standby has answered. */
    void acknowledged(LogAcknowledgement answer) {
        if (!off()) {
            sender.acknowledged(answer);
        }
    }

    /** Looks after the standby, sends what is due, and lets answers go that waited for it. */
    void step() {
        if (off()) {
            return;
        }
        tellDurable();
        // After a report that contradicted the log of the owner before, this one knows no more than
        // it can tell.
        boolean follows = phase != Phase.ALONE && phase != Phase.REMOVING;
        if (follows && (!part.rebuilt() || sender.failed(nowMs(), settings.ackTimeoutMs()))) {
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
        outbox.detail(
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
        return outbox.now.steadyMs();
    }

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

    /** Only an owner that knows of all attempts on machines can tell them. */
    private void attach() {
        if (!part.rebuilt() || !part.holds() || sender.attempts() > settings.mostAttempts()) {
            return;
        }
        StandbyChooser.Candidate candidate = chooser.choose(formats.standbys(others::up), nowMs());
        if (candidate != null) {
            sender.attach(candidate.process(), nowMs());
            phase = Phase.SNAPSHOT;
        }
    }

    private void confirm() {
        if (sender.snapshotAcknowledged()) {
            phase = Phase.CONFIRMING;
            confirmChange = sender.changes();
        }
    }

    private void name() {
        if (sender.changesAcknowledged() >= confirmChange) {
            phase = Phase.NAMED;
            namedAtMs = nowMs();
            ownership.nameStandby(sender.standby());
            outbox.log(
                    "standby: part "
                            + part.number
                            + " term "
                            + part.term()
                            + ", "
                            + sender.standby()
                            + " is in sync with "
                            + sender.attempts()
                            + " attempts");
        }
    }

    private void giveUp() {
        outbox.log(
                "standby: part "
                        + part.number
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

    private void goOnAlone() {
        if (ownership.surelyNoStandby()) {
            phase = Phase.ALONE;
        }
    }

    /** The part is lost: nothing that was held may leave any more. */
    void close() {
        held.values().forEach(answer -> outbox.answerUnavailable(answer.request));
        held.clear();
    }
}
