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
 * What the other controllers have told by hints, and what this one tells them. No rule rests on it:
 * a hint that is wrong or missing costs time only.
 */
final class PeerHints implements Parts.Peers {
    private final Settings settings;
    private final Outbox outbox;

    /** This node's own parts; null for one that it does not own. */
    private final IntFunction<Part> ownParts;

    private final Object2ObjectOpenHashMap<String, Hint> hints = new Object2ObjectOpenHashMap<>();
    private final Object2ObjectOpenHashMap<String, Long> hintedAt =
            new Object2ObjectOpenHashMap<>();
    private long nextHintMs;
    private long startedMs = -1;

    /** When this node last told peers that the state service does not answer it. */
    private long saidStateAwayMs;

    /** Workers that have come here from the part's owner, by part. */
    private final RedirectedWorkers[] redirected;

    PeerHints(Settings settings, Outbox outbox, int parts, IntFunction<Part> ownParts) {
        this.settings = settings;
        this.outbox = outbox;
        this.ownParts = ownParts;
        redirected = new RedirectedWorkers[parts];
        Arrays.setAll(redirected, n -> new RedirectedWorkers());
    }

    /** Notes the time of the first batch. */
    void started() {
        if (startedMs < 0) {
            startedMs = outbox.now.steadyMs();
            // A former process on this host may have said anything up to its end.
            saidStateAwayMs = startedMs;
        }
    }

    /** A hint has arrived. */
    void heard(Hint hint) {
        hints.put(hint.from(), hint);
        hintedAt.put(hint.from(), outbox.now.steadyMs());
    }

    /** Whether the state service has lately answered another node. */
    boolean anyWithStateService() {
        return hints.values().stream().anyMatch(h -> fresh(h) && h.stateOk());
    }

    /** A worker of another owner has reported here; whether it should wait with another node. */
    boolean cameBackHere(int part, WorkerReport report, int machines) {
        return redirected[part].came(report, machines, outbox.now.steadyMs());
    }

    /** The part has another owner than before. */
    void ownerChanged(int part) {
        redirected[part].clear();
    }

    /** Counts for display of a job that another node's part has; zeros if no hint names it. */
    Response.Counts counts(String id) {
        for (Hint h : hints.values()) {
            if (h.running().containsKey(id) || h.done().containsKey(id)) {
                return new Response.Counts(
                        h.done().getOrDefault(id, 0), h.running().getOrDefault(id, 0));
            }
        }
        return new Response.Counts(0, 0);
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
                                        && outbox.now.wallMs() - h.sentWallMs()
                                                < Tuning.HINT_STALE_MS);
    }

    @Override
    public boolean up(String host) {
        Hint hint = hints.get(host);
        return hint != null && fresh(hint);
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
        return outbox.now.steadyMs() - hintedAt.get(h.from()) < Tuning.HINT_STALE_MS;
    }

    /**
     * Whether an owner has most likely gone: its lease is over, or it has missed a heartbeat and
     * its hints.
     */
    boolean suspect(PartRecord record) {
        long leftMs = record.expiryMs() - outbox.now.wallMs();
        Hint hint = hints.get(record.host());
        boolean quiet =
                hint == null
                        || outbox.now.steadyMs() - hintedAt.get(record.host())
                                > Tuning.QUIET_PEER_MS;
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
    String meanwhile(String owner) {
        return hints.values().stream()
                .filter(
                        h ->
                                h.stateOk()
                                        && !h.from().equals(owner)
                                        && outbox.now.steadyMs() - hintedAt.get(h.from())
                                                < Tuning.QUIET_PEER_MS)
                .map(Hint::from)
                .sorted()
                .findFirst()
                .orElse(null);
    }

    @Override
    public PartHint hint(int part) {
        if (ownParts.apply(part) != null) {
            return ownParts.apply(part).holds() ? ownParts.apply(part).hint() : null;
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
        double up = (outbox.now.steadyMs() - startedMs) / 1000.0;
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

    /** Tells the others of this node when it is due; whether it was. */
    boolean tell() {
        if (outbox.now.steadyMs() < nextHintMs) {
            return false;
        }
        nextHintMs = outbox.now.steadyMs() + Tuning.HINT_MS;
        HashMap<Integer, PartHint> held = new HashMap<>();
        HashMap<Integer, Integer> back = new HashMap<>();
        HashMap<String, Integer> running = new HashMap<>();
        HashMap<String, Integer> finished = new HashMap<>();
        for (int n = 0; n < redirected.length; n++) {
            Part part = ownParts.apply(n);
            int workers = redirected[n].count(outbox.now.steadyMs());
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
        boolean stateOk = outbox.stateSilenceMs() < Tuning.READY_STATE_MS;
        saidStateAwayMs = stateOk ? saidStateAwayMs : outbox.now.steadyMs();
        outbox.add(
                new Effect.Tell(
                        new Hint(
                                settings.host(),
                                outbox.now.wallMs(),
                                stateOk,
                                (outbox.now.steadyMs() - startedMs) / 1000.0,
                                held,
                                back,
                                running,
                                finished)));
        return true;
    }
}
