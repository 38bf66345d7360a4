package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Keys.JobRecord;
import org.shoreusher.core.Keys.JobStatus;
import org.shoreusher.core.Keys.MachineRecord;
import org.shoreusher.core.Keys.PartRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.WorkerFormat;

/**
 * The one owner of all state of a process: takes batches of commands with a reading of the clocks, and
 * gives the effects that are to be carried out. It does no I/O, reads no clock and draws nothing at
 * random, so the same batches give the same effects.
 */
public final class Node {
    private final Settings settings;
    private final Outbox out;
    private final Mirror mirror;
    private final Types types;
    private final Parts parts;
    private final UserDesk desk;
    private final Object2ObjectOpenHashMap<String, Hint> hints = new Object2ObjectOpenHashMap<>();
    private final Object2ObjectOpenHashMap<String, Long> hintedAt = new Object2ObjectOpenHashMap<>();
    private long nextHintMs;

    /** @param owner the node's name, a slash, and a suffix that no other process has ever had */
    public Node(Settings settings, String owner) {
        this.settings = settings;
        out = new Outbox(settings);
        mirror = new Mirror(out, this::changed);
        types = new Types(out, mirror);
        parts = new Parts(settings, out, mirror, types, owner);
        desk = new UserDesk(settings, out, mirror, types, this::counts, this::roomiestPart);
    }

    /** Works through a batch; the effects are to be carried out in order, at once. */
    public List<Effect> step(Reading now, List<Command> batch) {
        out.now = now;
        for (Command command : batch) {
            handle(command);
        }
        mirror.step();
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
     * Whether users should come here. A node that alone has lost the state service sends them away; when
     * all have, staying is better, since coming back takes the load balancer seconds.
     */
    private boolean ready() {
        if (!mirror.loaded() || !types.known()) {
            return false;
        }
        return out.stateSilenceMs() < Tuning.READY_STATE_MS || hints.values().stream().noneMatch(h -> fresh(h) && h.stateOk());
    }

    private boolean fresh(Hint h) {
        return out.now.steadyMs() - hintedAt.get(h.from()) < Tuning.HINT_STALE_MS;
    }

    private void report(Command.Report r) {
        String machine = r.report().machine();
        Mirror.Entry entry = mirror.get(Keys.machine(machine));
        int n = entry == null ? unrecorded(machine) : MachineRecord.read(entry.value()).part();
        Part part = parts.owned(n);
        if (part != null) {
            part.report(r.request(), r.report());
            return;
        }
        PartRecord record = mirror.loaded() ? parts.record(n) : null;
        if (record == null || record.host().equals(settings.host()) || out.now.wallMs() > record.expiryMs()) {
            out.later(r.request());
        } else {
            out.answer(r.request(), 421, WorkerFormat.elsewhere(record.host()));
        }
    }

    /** A machine without record belongs to the part that rented it, else to the one its name falls to. */
    private int unrecorded(String machine) {
        for (int n = 0; n < Tuning.PARTS; n++) {
            if (parts.owned(n) != null && parts.owned(n).machines().containsKey(machine)) {
                return n;
            }
        }
        return Parts.partOf(machine);
    }

    private void changed(String key, Mirror.Entry before, Mirror.Entry after) {
        if (key.startsWith(Keys.JOB)) {
            if (after != null) {
                jobChanged(key.substring(Keys.JOB.length()), JobRecord.read(after.value()));
            }
        } else if (key.startsWith(Keys.PART) && key.indexOf('/', Keys.PART.length()) < 0 && after != null) {
            parts.recordChanged(Integer.parseInt(key.substring(Keys.PART.length())), PartRecord.read(after.value()));
        } else if (key.equals(Keys.TYPES) && after != null) {
            types.stored(after.value());
        }
    }

    private void jobChanged(String id, JobRecord record) {
        Part part = parts.owned(record.part());
        if (part != null) {
            part.jobChanged(id, record);
        }
        if (record.status() == JobStatus.DONE) {
            desk.jobDone(id, record);
        }
    }

    // ---- hints -------------------------------------------------------------------------------

    private UserDesk.Counts counts(String id) {
        for (int n = 0; n < Tuning.PARTS; n++) {
            Part part = parts.owned(n);
            Job job = part == null ? null : part.jobs().get(id);
            if (job != null) {
                return new UserDesk.Counts(job.done.cardinality(), job.live.size());
            }
        }
        for (Hint h : hints.values()) {
            if (h.running().containsKey(id) || h.done().containsKey(id)) {
                return new UserDesk.Counts(h.done().getOrDefault(id, 0), h.running().getOrDefault(id, 0));
            }
        }
        return new UserDesk.Counts(0, 0);
    }

    private int roomiestPart() {
        Map<Integer, Double> room = new HashMap<>();
        for (Hint h : hints.values()) {
            if (fresh(h)) {
                room.putAll(h.room());
            }
        }
        int best = 0;
        double most = Double.NEGATIVE_INFINITY;
        for (int n = 0; n < Tuning.PARTS; n++) {
            double r = parts.owned(n) != null ? room(parts.owned(n)) : room.getOrDefault(n, Double.NEGATIVE_INFINITY);
            if (r > most) {
                most = r;
                best = n;
            }
        }
        return best;
    }

    /** Free CPUs of a part less those its waiting tasks want. */
    private static double room(Part part) {
        double room = 0;
        for (Machine m : part.machines().values()) {
            room += m.state == Machine.State.UP || m.state == Machine.State.BOOTING ? m.cpusFree() : 0;
        }
        for (Job job : part.jobs().values()) {
            room -= job.waitingCount * job.spec.cpus();
        }
        return room;
    }

    private void hint() {
        if (out.now.steadyMs() < nextHintMs) {
            return;
        }
        nextHintMs = out.now.steadyMs() + Tuning.HINT_MS;
        HashMap<Integer, Double> room = new HashMap<>();
        HashMap<String, Integer> running = new HashMap<>();
        HashMap<String, Integer> finished = new HashMap<>();
        for (int n = 0; n < Tuning.PARTS; n++) {
            Part part = parts.owned(n);
            if (part != null && part.holds()) {
                room.put(n, room(part));
                for (Job job : part.jobs().values()) {
                    running.put(job.id, job.live.size());
                    finished.put(job.id, job.done.cardinality());
                }
            }
        }
        out.add(new Effect.Tell(new Hint(settings.host(), out.stateSilenceMs() < Tuning.READY_STATE_MS, room, running, finished)));
    }
}
