package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Arrays;
import java.util.HashMap;
import java.util.function.IntFunction;
import org.shoreusher.core.Hint.PartHint;
import org.shoreusher.core.StoreSchema.PartRecord;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;

/**
 * The gossip between the nodes: the last message of each peer, and the messages that this node
 * sends. Correctness never depends on it: a wrong or missing message costs time only.
 */
final class PeerHints implements Parts.Peers {
    private final Settings settings;
    private final Outbox outbox;

    /** The shards that this node leads, by number; null for another shard. */
    private final IntFunction<Part> ownParts;

    /** The last message of each peer, by host. */
    private final Object2ObjectOpenHashMap<String, Hint> hints = new Object2ObjectOpenHashMap<>();

    /** When that message was received, by host; steady ms. */
    private final Object2ObjectOpenHashMap<String, Long> hintedAt =
            new Object2ObjectOpenHashMap<>();

    private long nextHintMs;

    /** When this process handled its first batch of commands, steady ms; -1: not yet. */
    private long startedMs = -1;

    /** When this node last told its peers that it can't reach the store; steady ms. */
    private long saidStateAwayMs;

    /** For each shard, the workers that its leader had answered and that now come to this node. */
    private final RedirectedWorkers[] redirected;

    /** No messages yet. */
    PeerHints(Settings settings, Outbox outbox, int parts, IntFunction<Part> ownParts) {
        this.settings = settings;
        this.outbox = outbox;
        this.ownParts = ownParts;
        redirected = new RedirectedWorkers[parts];
        Arrays.setAll(redirected, n -> new RedirectedWorkers());
    }

    /** Notes when the first batch of commands is handled; later calls do nothing. */
    void started() {
        if (startedMs < 0) {
            startedMs = outbox.now.monotonicMs();
            // An earlier process on this host may have said so until it ended.
            saidStateAwayMs = startedMs;
        }
    }

    /** A message from a peer has arrived. */
    void heard(Hint hint) {
        hints.put(hint.from(), hint);
        hintedAt.put(hint.from(), outbox.now.monotonicMs());
    }

    /** Whether any peer has lately said that it reaches the store. */
    boolean anyWithStateService() {
        return hints.values().stream().anyMatch(h -> fresh(h) && h.stateOk());
    }

    /**
     * Records the heartbeat of a worker that belongs to the shard of another leader.
     *
     * @param machines the number of machines of all shards
     * @return whether the worker should be kept away from the shard's leader for now
     */
    boolean cameBackHere(int part, WorkerReport report, int machines) {
        return redirected[part].recordRedirect(report, machines, outbox.now.monotonicMs());
    }

    /** The shard has another leader than before. */
    void ownerChanged(int part) {
        redirected[part].clear();
    }

    /**
     * The task counts of a job in the shard of another leader, for display; zeros if no message
     * names the job.
     */
    Response.TaskCounts counts(String id) {
        for (Hint h : hints.values()) {
            if (h.running().containsKey(id) || h.done().containsKey(id)) {
                return new Response.TaskCounts(
                        h.done().getOrDefault(id, 0), h.running().getOrDefault(id, 0));
            }
        }
        return new Response.TaskCounts(0, 0);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A message may have been delayed by the network, so its age is also checked by the sender's
     * clock. A peer that sends nothing is assumed to reach the store.
     */
    @Override
    public boolean isStoreUnavailableToAllPeers() {
        return settings.members().stream()
                .map(m -> hints.get(m.host()))
                .allMatch(
                        h ->
                                h != null
                                        && fresh(h)
                                        && !h.stateOk()
                                        && outbox.now.wallMs() - h.sentWallMs()
                                                < Tuning.HINT_STALE_MS);
    }

    @Override
    public boolean isResponsive(String host) {
        Hint hint = hints.get(host);
        return hint != null && fresh(hint);
    }

    @Override
    public long storeOutageGossipValidUntilMs() {
        return saidStateAwayMs
                + Tuning.HINT_STALE_MS
                + 2 * settings.clockOffMs()
                + Tuning.LEASE_MARGIN_MS;
    }

    @Override
    public int workersUnableToReachLeader(int part) {
        int workers = 0;
        for (Hint h : hints.values()) {
            // The largest count, not the sum: a redirected worker goes back and forth between
            // peers.
            workers =
                    Math.max(workers, fresh(h) && h.stateOk() ? h.back().getOrDefault(part, 0) : 0);
        }
        return workers;
    }

    /** Whether the message is recent enough to be used. */
    private boolean fresh(Hint h) {
        return outbox.now.monotonicMs() - hintedAt.get(h.from()) < Tuning.HINT_STALE_MS;
    }

    /**
     * Whether a shard's leader has probably failed: its lease has expired, or it has missed a lease
     * renewal and its gossip has stopped.
     */
    boolean suspect(PartRecord record) {
        long leftMs = record.leaseExpiryWallMs() - outbox.now.wallMs();
        Hint hint = hints.get(record.leaderHost());
        boolean quiet =
                hint == null
                        || outbox.now.monotonicMs() - hintedAt.get(record.leaderHost())
                                > Tuning.QUIET_PEER_MS;
        return leftMs < 0
                || (quiet
                        && leftMs
                                < PartLease.durationMs(settings)
                                        - PartLease.renewalIntervalMs(settings)
                                        - Tuning.QUIET_PEER_MS);
    }

    /**
     * The host that a worker should send heartbeats to until its shard has a new leader; null if no
     * peer is suitable. Redirected to a leader that is cut off, the worker would wait there for its
     * whole timeout, again and again, while its lease runs out. Redirected between two responsive
     * nodes it asks every half second, so the successor hears from it at once.
     */
    String meanwhile(String owner) {
        return hints.values().stream()
                .filter(
                        h ->
                                h.stateOk()
                                        && !h.from().equals(owner)
                                        && outbox.now.monotonicMs() - hintedAt.get(h.from())
                                                < Tuning.QUIET_PEER_MS)
                .map(Hint::from)
                .sorted()
                .findFirst()
                .orElse(null);
    }

    @Override
    public PartHint shardSummary(int part) {
        if (ownParts.apply(part) != null) {
            return ownParts.apply(part).isLeader() ? ownParts.apply(part).summary() : null;
        }
        for (Hint h : hints.values()) {
            if (fresh(h) && h.parts().containsKey(part)) {
                return h.parts().get(part);
            }
        }
        return null;
    }

    @Override
    public int peersWithPriority(int ownedCount) {
        // A peer that has sent nothing yet may be starting: a node that leads no shard leaves one
        // shard to each such peer.
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
        double up = (outbox.now.monotonicMs() - startedMs) / 1000.0;
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
    public boolean isAnyPeerLeadingTwoFewer(int ownedCount) {
        return hints.values().stream()
                .anyMatch(
                        h ->
                                fresh(h)
                                        && h.stateOk()
                                        && h.upS() > Tuning.DEAL_TO_UP_S
                                        && h.parts().size() <= ownedCount - 2);
    }

    /** Sends a message to the peers if one is due; returns whether it did. */
    boolean tell() {
        if (outbox.now.monotonicMs() < nextHintMs) {
            return false;
        }
        nextHintMs = outbox.now.monotonicMs() + Tuning.HINT_MS;
        HashMap<Integer, PartHint> held = new HashMap<>();
        HashMap<Integer, Integer> back = new HashMap<>();
        HashMap<String, Integer> running = new HashMap<>();
        HashMap<String, Integer> finished = new HashMap<>();
        for (int n = 0; n < redirected.length; n++) {
            Part part = ownParts.apply(n);
            int workers = redirected[n].countRepeatedlyRedirected(outbox.now.monotonicMs());
            if (workers > 0) {
                back.put(n, workers);
            }
            if (part != null && part.isLeader()) {
                held.put(n, part.summary());
                for (Job job : part.jobs().values()) {
                    running.put(job.id, job.live.size());
                    finished.put(job.id, job.done.cardinality());
                }
            }
        }
        boolean stateOk = outbox.sinceStoreReplyMs() < Tuning.READY_STATE_MS;
        saidStateAwayMs = stateOk ? saidStateAwayMs : outbox.now.monotonicMs();
        outbox.add(
                new Effect.Tell(
                        new Hint(
                                settings.host(),
                                outbox.now.wallMs(),
                                stateOk,
                                (outbox.now.monotonicMs() - startedMs) / 1000.0,
                                held,
                                back,
                                running,
                                finished)));
        return true;
    }
}
