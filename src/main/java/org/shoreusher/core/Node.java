package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Hint.PartHint;
import org.shoreusher.core.Keys.JobRecord;
import org.shoreusher.core.Keys.JobStatus;
import org.shoreusher.core.Keys.MachineRecord;
import org.shoreusher.core.Keys.PartRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.WorkerFormat;

/**
 * The one owner of all state of a process: takes batches of commands with a reading of the clocks,
 * and gives the effects that are to be carried out. It does no I/O, reads no clock and draws
 * nothing at random, so the same batches give the same effects.
 */
public final class Node implements Parts.Peers {

    private final Settings settings;
    private final Outbox out;
    private final Mirror mirror;
    private final MachineIndex index = new MachineIndex();
    private final Arrivals arrivals;
    private final Types types;
    private final Formats formats;
    private final Parts parts;
    private final UserDesk desk;
    private final Object2ObjectOpenHashMap<String, Hint> hints = new Object2ObjectOpenHashMap<>();
    private final Object2ObjectOpenHashMap<String, Long> hintedAt =
            new Object2ObjectOpenHashMap<>();
    private long nextHintMs;
    private long startedMs = -1;

    /** When this node last told peers that the state service does not answer it. */
    private long saidStateAwayMs;

    /** Workers that have come here from the part's owner, by part. */
    private final Returners[] returners;

    /** CPUs of jobs dealt to each part since the last hints went round. */
    private final double[] dealt;

    /**
     * @param owner the node's name, a slash, and a suffix that no other process has ever had
     * @param count number of parts; the same on all nodes and for the life of the state service's
     *     contents
     */
    public Node(Settings settings, String owner, int count) {
        this.settings = settings;
        dealt = new double[count];
        returners = new Returners[count];
        Arrays.setAll(returners, n -> new Returners());
        out = new Outbox(settings, count);
        mirror = new Mirror(out, settings, this::changed);
        arrivals = new Arrivals(settings, out, mirror);
        types = new Types(settings, out, mirror);
        formats = new Formats(settings, out, mirror, owner, count);
        parts =
                new Parts(
                        count, settings, out, mirror, arrivals, index, types, formats, this, owner);
        desk =
                new UserDesk(
                        settings,
                        out,
                        mirror,
                        arrivals,
                        types,
                        formats,
                        owner,
                        this::counts,
                        this::roomiestPart);
    }

    /** Works through a batch; the effects are to be carried out in order, at once. */
    public List<Effect> step(Reading now, List<Command> batch) {
        out.now = now;
        if (startedMs < 0) {
            startedMs = now.steadyMs();
            // A former process on this host may have said anything up to its end.
            saidStateAwayMs = startedMs;
        }
        for (Command command : batch) {
            handle(command);
        }
        mirror.step();
        formats.step();
        types.step(parts.ownedCount() > 0);
        parts.step();
        desk.step();
        hint();
        return out.drain();
    }

    private void handle(Command command) {
        if (command instanceof Command.Report r) {
            report(r);
        } else if (command instanceof Command.StateReply r) {
            out.replied(r);
        } else if (command instanceof Command.Poll p) {
            desk.poll(p.request(), p.id());
        } else if (command instanceof Command.Submit s) {
            desk.submit(s.request(), s.id(), s.spec(), s.problem());
        } else if (command instanceof Command.Cancel c) {
            desk.cancel(c.request(), c.id());
        } else if (command instanceof Command.Ready r) {
            if (ready()) {
                out.answer(r.request(), 200, Map.of());
            } else {
                out.later(r.request());
            }
        } else if (command instanceof Command.CloudReply r) {
            out.replied(r);
        } else if (command instanceof Command.PeerHint p) {
            hints.put(p.hint().from(), p.hint());
            hintedAt.put(p.hint().from(), out.now.steadyMs());
        }
    }

    /**
     * Whether users should come here. A node that alone has lost the state service sends them away;
     * when all have, staying is better, since coming back takes the load balancer seconds.
     */
    private boolean ready() {
        if (!mirror.loaded() || !types.known()) {
            return false;
        }
        return out.stateSilenceMs() < Tuning.READY_STATE_MS
                || hints.values().stream().noneMatch(h -> fresh(h) && h.stateOk());
    }

    /**
     * A hint may have been held up by the network, so it counts by the sender's time as well.
     * Whoever is not heard may well have the state service.
     */
    @Override
    public boolean stateAwayEverywhere() {
        return settings.members().stream()
                .map(m -> hints.get(m.host()))
                .allMatch(
                        h ->
                                h != null
                                        && fresh(h)
                                        && !h.stateOk()
                                        && out.now.wallMs() - h.sentWallMs()
                                                < Tuning.HINT_STALE_MS);
    }

    @Override
    public long saidStateAwayUntilMs() {
        return saidStateAwayMs
                + Tuning.HINT_STALE_MS
                + 2 * settings.clockOffMs()
                + Tuning.LEASE_MARGIN_MS;
    }

    @Override
    public int cameBack(int part) {
        int workers = 0;
        for (Hint h : hints.values()) {
            // Not their sum: one that is kept waiting goes from one to the other and back.
            workers =
                    Math.max(workers, fresh(h) && h.stateOk() ? h.back().getOrDefault(part, 0) : 0);
        }
        return workers;
    }

    private boolean fresh(Hint h) {
        return out.now.steadyMs() - hintedAt.get(h.from()) < Tuning.HINT_STALE_MS;
    }

    private void report(Command.Report r) {
        String machine = r.report().machine();
        MachineRecord known = index.get(machine);
        int n = known == null ? unrecorded(machine) : known.part();
        Part part = parts.owned(n);
        if (part != null) {
            part.reports().report(r.request(), r.report());
            return;
        }
        PartRecord record = mirror.loaded() ? parts.record(n) : null;
        if (record == null) {
            out.later(r.request());
        } else if (record.host().equals(settings.host()) || suspect(record)) {
            String host = meanwhile(record.host());
            if (host == null) {
                out.later(r.request());
            } else {
                out.answer(r.request(), 421, WorkerFormat.elsewhere(host));
            }
        } else {
            boolean wait =
                    r.report().token() >= record.term()
                            && returners[n].came(
                                    r.report(), index.all().size(), out.now.steadyMs());
            String host = wait ? meanwhile(record.host()) : null;
            out.answer(
                    r.request(), 421, WorkerFormat.elsewhere(host == null ? record.host() : host));
        }
    }

    /**
     * Whether an owner has most likely gone: its lease is over, or it has missed a heartbeat and
     * its hints.
     */
    private boolean suspect(PartRecord record) {
        long leftMs = record.expiryMs() - out.now.wallMs();
        Hint hint = hints.get(record.host());
        boolean quiet =
                hint == null
                        || out.now.steadyMs() - hintedAt.get(record.host()) > Tuning.QUIET_PEER_MS;
        return leftMs < 0
                || (quiet
                        && leftMs
                                < PartLease.leaseMs(settings)
                                        - PartLease.heartbeatMs(settings)
                                        - Tuning.QUIET_PEER_MS);
    }

    /**
     * Where a worker should report until its part is taken. Sent back to an owner that is cut off
     * it would hang there for its whole patience, again and again, while its lease runs out;
     * between two nodes that are there it asks every half second, so the taker hears it at once.
     */
    private String meanwhile(String owner) {
        return hints.values().stream()
                .filter(
                        h ->
                                h.stateOk()
                                        && !h.from().equals(owner)
                                        && out.now.steadyMs() - hintedAt.get(h.from())
                                                < Tuning.QUIET_PEER_MS)
                .map(Hint::from)
                .sorted()
                .findFirst()
                .orElse(null);
    }

    /**
     * A machine without record belongs to the part that rented it, else to the one its name falls
     * to.
     */
    private int unrecorded(String machine) {
        for (int n = 0; n < parts.count(); n++) {
            if (parts.owned(n) != null && parts.owned(n).machines().containsKey(machine)) {
                return n;
            }
        }
        return parts.partOf(machine);
    }

    private void changed(String key, Mirror.Entry before, Mirror.Entry after) {
        if (key.startsWith(Keys.JOB)) {
            if (after != null) {
                String id = key.substring(Keys.JOB.length());
                arrivals.settled(id);
                jobChanged(id, JobRecord.read(after.value()));
            }
        } else if (key.startsWith(Keys.ARRIVED)) {
            arrivals.changed(key, after, this::jobChanged);
        } else if (key.startsWith(Keys.PART)
                && key.indexOf('/', Keys.PART.length()) < 0
                && after != null) {
            int n = Integer.parseInt(key.substring(Keys.PART.length()));
            PartRecord record = PartRecord.read(after.value());
            if (before == null || !PartRecord.read(before.value()).owner().equals(record.owner())) {
                returners[n].clear();
            }
            parts.recordChanged(n, record);
        } else if (key.startsWith(Keys.MACHINE)) {
            index.changed(key, after, this::machineChanged);
        } else if (key.equals(Keys.TYPES) && after != null) {
            types.stored(after.value());
        }
    }

    private void machineChanged(String id, MachineRecord record) {
        for (int n = 0; n < parts.count(); n++) {
            if (parts.owned(n) != null) {
                parts.owned(n).machineChanged(id, record);
            }
        }
    }

    private void jobChanged(String id, JobRecord record) {
        for (int n = 0; n < parts.count(); n++) {
            Part part = parts.owned(n);
            if (part != null && n == record.part()) {
                part.jobChanged(id, record);
            } else if (part != null) {
                // Two nodes may have accepted it for different parts; its own record tells for
                // which.
                part.close(id);
            }
        }
        if (record.status() == JobStatus.DONE) {
            desk.jobDone(id, record);
        } else if (record.status() == JobStatus.CANCELLED) {
            desk.jobCancelled(id);
        }
    }

    // ---- hints -------------------------------------------------------------------------------

    private UserDesk.Counts counts(String id) {
        for (int n = 0; n < parts.count(); n++) {
            Part part = parts.owned(n);
            Job job = part == null ? null : part.jobs().get(id);
            if (job != null) {
                return new UserDesk.Counts(job.done.cardinality(), job.live.size());
            }
        }
        for (Hint h : hints.values()) {
            if (h.running().containsKey(id) || h.done().containsKey(id)) {
                return new UserDesk.Counts(
                        h.done().getOrDefault(id, 0), h.running().getOrDefault(id, 0));
            }
        }
        return new UserDesk.Counts(0, 0);
    }

    @Override
    public PartHint hint(int part) {
        if (parts.owned(part) != null) {
            return parts.owned(part).holds() ? parts.owned(part).hint() : null;
        }
        for (Hint h : hints.values()) {
            if (fresh(h) && h.parts().containsKey(part)) {
                return h.parts().get(part);
            }
        }
        return null;
    }

    @Override
    public int before(int ownedCount) {
        // A peer that has not been heard of yet may be starting just now: one part each is left to
        // it.
        int before =
                ownedCount == 0
                        ? 0
                        : (int)
                                settings.members().stream()
                                        .filter(
                                                m ->
                                                        !hints.containsKey(m.host())
                                                                || !fresh(hints.get(m.host())))
                                        .count();
        double up = (out.now.steadyMs() - startedMs) / 1000.0;
        for (Hint h : hints.values()) {
            if (fresh(h)
                    && h.stateOk()
                    && (h.parts().size() < ownedCount
                            || (h.parts().size() == ownedCount && h.upS() < up))) {
                before++;
            }
        }
        return before;
    }

    @Override
    public boolean anyWithTwoLess(int ownedCount) {
        return hints.values().stream()
                .anyMatch(
                        h ->
                                fresh(h)
                                        && h.stateOk()
                                        && h.upS() > Tuning.DEAL_TO_UP_S
                                        && h.parts().size() <= ownedCount - 2);
    }

    /**
     * Deals a job to the part with most room, and remembers it until the part's next hint tells.
     */
    private int roomiestPart(JobSpec spec) {
        int best = 0;
        double most = Double.NEGATIVE_INFINITY;
        for (int n = 0; n < parts.count(); n++) {
            PartHint hint = hint(n);
            Hint.Claim claim = hint == null ? null : hint.claims().get(spec.team());
            // A team's jobs are best together: then its limit is not cut up.
            double room =
                    (hint == null ? Tuning.UNKNOWN_ROOM : hint.room())
                            - dealt[n]
                            + (claim == null
                                    ? 0
                                    : Tuning.TOGETHER * (claim.urgent() + claim.other()));
            if (room > most) {
                most = room;
                best = n;
            }
        }
        dealt[best] += spec.tasks() * spec.cpus();
        return best;
    }

    private void hint() {
        if (out.now.steadyMs() < nextHintMs) {
            return;
        }
        nextHintMs = out.now.steadyMs() + Tuning.HINT_MS;
        Arrays.fill(dealt, 0);
        HashMap<Integer, PartHint> held = new HashMap<>();
        HashMap<Integer, Integer> back = new HashMap<>();
        HashMap<String, Integer> running = new HashMap<>();
        HashMap<String, Integer> finished = new HashMap<>();
        for (int n = 0; n < parts.count(); n++) {
            Part part = parts.owned(n);
            int workers = returners[n].count(out.now.steadyMs());
            if (workers > 0) {
                back.put(n, workers);
            }
            if (part != null && part.holds()) {
                held.put(n, part.hint());
                for (Job job : part.jobs().values()) {
                    running.put(job.id, job.live.size());
                    finished.put(job.id, job.done.cardinality());
                }
            }
        }
        boolean stateOk = out.stateSilenceMs() < Tuning.READY_STATE_MS;
        saidStateAwayMs = stateOk ? saidStateAwayMs : out.now.steadyMs();
        out.add(
                new Effect.Tell(
                        new Hint(
                                settings.host(),
                                out.now.wallMs(),
                                stateOk,
                                (out.now.steadyMs() - startedMs) / 1000.0,
                                held,
                                back,
                                running,
                                finished)));
    }
}
