package org.shoreusher.core;

import java.util.Arrays;
import java.util.List;
import org.shoreusher.core.Hint.PartHint;
import org.shoreusher.core.StoreSchema.JobRecord;
import org.shoreusher.core.StoreSchema.JobStatus;
import org.shoreusher.core.StoreSchema.MachineRecord;
import org.shoreusher.core.StoreSchema.PartRecord;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
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
    private final StoreView view;
    private final MachineIndex index = new MachineIndex();
    private final Arrivals arrivals;
    private final MachineTypes types;
    private final MemberFormats formats;
    private final Parts parts;
    private final UserRequests users;
    private final PeerHints peers;

    /** CPUs of jobs assigned to each shard since this node last sent gossip. */
    private final double[] dealt;

    /**
     * Creates a node that leads no shard yet.
     *
     * @param settings the deployment's settings
     * @param features the optional features that this node uses; other nodes may use different ones
     * @param owner the name of this process: the host name, a slash, and a suffix that no other
     *     process has ever used
     * @param count the number of shards; the same on all nodes and for the lifetime of the stored
     *     data
     */
    public Node(Settings settings, Features features, String owner, int count) {
        this.settings = settings;
        dealt = new double[count];
        outbox = new Outbox(settings, count);
        view = new StoreView(outbox, settings, this::changed);
        arrivals = new Arrivals(settings, outbox, view);
        types = new MachineTypes(settings, outbox, view);
        formats = new MemberFormats(settings, features, outbox, view, owner, count);
        peers = new PeerHints(settings, outbox, count, this::ownedPart);
        NodeContext context =
                new NodeContext(settings, features, outbox, view, arrivals, index, types, formats);
        parts = new Parts(count, context, peers, owner);
        users = new UserRequests(context, owner, this::counts, this::roomiestPart);
    }

    private Part ownedPart(int n) {
        return parts.owned(n);
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
        outbox.now = now;
        peers.started();
        for (Command command : batch) {
            handle(command);
        }
        view.step();
        formats.step();
        types.step(parts.ownedCount() > 0);
        parts.step();
        users.step();
        if (peers.tell()) {
            Arrays.fill(dealt, 0);
        }
        return outbox.drain();
    }

    private void handle(Command command) {
        if (command instanceof Command.Report r) {
            report(r);
        } else if (command instanceof Command.StateReply r) {
            outbox.replied(r);
        } else if (command instanceof Command.Poll p) {
            users.poll(p.request(), p.id());
        } else if (command instanceof Command.Submit s) {
            users.submit(s.request(), s.id(), s.spec(), s.problem());
        } else if (command instanceof Command.Cancel c) {
            users.cancel(c.request(), c.id());
        } else if (command instanceof Command.Ready r) {
            if (ready()) {
                outbox.answer(r.request(), new Response.Ready());
            } else {
                outbox.answerUnavailable(r.request());
            }
        } else if (command instanceof Command.CloudReply r) {
            outbox.replied(r);
        } else if (command instanceof Command.PeerHint p) {
            peers.heard(p.hint());
        } else if (command instanceof Command.FromPeer p) {
            standbyMessage(p.message());
        }
    }

    private void standbyMessage(StandbyMessage message) {
        if (message instanceof LogFrame frame) {
            parts.replicas().receive(frame);
        } else if (message instanceof LogAcknowledgement answer) {
            Part part = parts.owned(answer.stream().part());
            if (part != null) {
                part.replication().acknowledged(answer);
            }
        }
    }

    /**
     * Returns whether the load balancer should send users to this node. A node that alone can't
     * reach the key-value store reports that it is not ready. If no node reaches the store, this
     * one stays ready, because the load balancer takes seconds to bring a node back.
     */
    private boolean ready() {
        if (!view.loaded() || !types.known()) {
            return false;
        }
        return outbox.stateSilenceMs() < Tuning.READY_STATE_MS || !peers.anyWithStateService();
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
        PartRecord record = view.loaded() ? parts.record(n) : null;
        if (record == null) {
            outbox.answerUnavailable(r.request());
        } else if (record.host().equals(settings.host()) || peers.suspect(record)) {
            String host = peers.meanwhile(record.host());
            if (host == null) {
                outbox.answerUnavailable(r.request());
            } else {
                outbox.answer(r.request(), new Response.Elsewhere(host));
            }
        } else {
            boolean wait =
                    r.report().token() >= record.term()
                            && peers.cameBackHere(n, r.report(), index.all().size());
            String host = wait ? peers.meanwhile(record.host()) : null;
            outbox.answer(r.request(), new Response.Elsewhere(host == null ? record.host() : host));
        }
    }

    /**
     * Returns the shard of a machine without a record: the led shard that provisioned it, or else
     * the shard that the hash of its name selects.
     */
    private int unrecorded(String machine) {
        for (int n = 0; n < parts.count(); n++) {
            if (parts.owned(n) != null && parts.owned(n).machines().containsKey(machine)) {
                return n;
            }
        }
        return parts.partOf(machine);
    }

    private void changed(String key, StoreView.Entry before, StoreView.Entry after) {
        formats.changed(key);
        if (key.startsWith(StoreSchema.JOB)) {
            if (after != null) {
                String id = key.substring(StoreSchema.JOB.length());
                arrivals.settled(id);
                jobChanged(id, JobRecord.read(after.value()));
            }
        } else if (key.startsWith(StoreSchema.ARRIVED)) {
            arrivals.changed(key, after, this::jobChanged);
        } else if (key.startsWith(StoreSchema.PART)
                && key.indexOf('/', StoreSchema.PART.length()) < 0
                && after != null) {
            int n = Integer.parseInt(key.substring(StoreSchema.PART.length()));
            PartRecord record = PartRecord.read(after.value());
            if (before == null || !PartRecord.read(before.value()).owner().equals(record.owner())) {
                peers.ownerChanged(n);
            }
            parts.recordChanged(n, record);
        } else if (key.startsWith(StoreSchema.MACHINE)) {
            index.changed(key, after, this::machineChanged);
        } else if (key.equals(StoreSchema.TYPES) && after != null) {
            types.stored(after.value());
        }
    }

    private void machineChanged(String id, MachineRecord record) {
        for (int n = 0; n < parts.count(); n++) {
            if (parts.owned(n) != null) {
                parts.owned(n).lifecycle().machineChanged(id, record);
            }
        }
    }

    private void jobChanged(String id, JobRecord record) {
        for (int n = 0; n < parts.count(); n++) {
            Part part = parts.owned(n);
            if (part != null && n == record.part()) {
                part.openJobs().changed(id, record);
            } else if (part != null) {
                // Two nodes may have accepted the job for different shards; the job's own record
                // decides.
                part.openJobs().close(id);
            }
        }
        if (record.status() == JobStatus.DONE) {
            users.ended().done(id, record);
        } else if (record.status() == JobStatus.CANCELLED) {
            users.ended().cancelled(id);
        }
    }

    // ---- gossip ------------------------------------------------------------------------------

    private Response.Counts counts(String id) {
        for (int n = 0; n < parts.count(); n++) {
            Part part = parts.owned(n);
            Job job = part == null ? null : part.jobs().get(id);
            if (job != null) {
                return new Response.Counts(job.done.cardinality(), job.live.size());
            }
        }
        return peers.counts(id);
    }

    /**
     * Returns the shard with the most headroom for a new job, and counts the job against that
     * headroom until the next gossip round.
     */
    private int roomiestPart(JobSpec spec) {
        int best = 0;
        double most = Double.NEGATIVE_INFINITY;
        for (int n = 0; n < parts.count(); n++) {
            PartHint hint = peers.hint(n);
            Hint.Claim claim = hint == null ? null : hint.claims().get(spec.team());
            // Jobs of one team are kept in one shard where possible, so that the team's quota is
            // not split.
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
}
