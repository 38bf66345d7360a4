package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Command.CloudReply;
import org.shoreusher.core.Effect.CloudOp;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.CloudFormat;
import org.shoreusher.wire.FieldMap;

/**
 * Provisions machines. Sends as many requests at once as the cloud's rate limit allows in a second:
 * one at a time took ten seconds for a thousand machines.
 *
 * <p>Guarantee: requests are idempotent. A request without an answer is repeated under the same
 * name until it has one, and no name is ever used for another request, by this leader or a later
 * one.
 */
final class Rentals {
    /**
     * What the cloud's capacity is counted by.
     *
     * @param type name of the machine type
     * @param spot whether a spot machine, else an on-demand one
     */
    record Kind(String type, String zone, boolean spot) {}

    /** A request that has no final answer yet. */
    private static final class Pending {
        final CloudOp.Rent rent;
        final Planner.Slot example;
        boolean inFlight;
        long askedWallMs;

        Pending(CloudOp.Rent rent, Planner.Slot example) {
            this.rent = rent;
            this.example = example;
        }
    }

    private final Part part;
    private final Outbox outbox;
    private final Fleet fleet;
    private final int atOnce;

    /** Steady ms until which a kind that had no capacity is not requested again. */
    private final Object2LongOpenHashMap<Kind> refusedUntil = new Object2LongOpenHashMap<>();

    private final List<Pending> pending = new ArrayList<>();
    private long nextHire = 1;

    /**
     * Whether the last call failed. Then requests are sent one at a time until one succeeds, since
     * all of them together would use up the rate limit during an outage.
     */
    private boolean failing;

    private long againMs;

    /** Creates the scale-out of a shard; nothing is requested yet. */
    Rentals(Part part, Settings settings, Outbox outbox, Fleet fleet) {
        this.part = part;
        this.outbox = outbox;
        this.fleet = fleet;
        atOnce = Math.max(1, (int) (settings.cloudRps() * Tuning.RATE_USE));
    }

    /** Whether the cloud has recently had no capacity for this kind of machine. */
    boolean refused(Kind kind) {
        return refusedUntil.getLong(kind) > outbox.now.monotonicMs();
    }

    /** How many more machines can be requested now. */
    int room() {
        return (atOnce - pending.size()) * Tuning.RENT_AT_ONCE;
    }

    /** The capacity of the machines that have been requested and not been provisioned yet. */
    List<Planner.Slot> coming() {
        List<Planner.Slot> slots = new ArrayList<>();
        for (Pending p : pending) {
            for (int i = 0; i < p.rent.count(); i++) {
                slots.add(new Planner.Slot(p.example.type, p.example.zone, p.example.spot));
            }
        }
        return slots;
    }

    /** Requests machines like these, at most {@link #room} of them. */
    void ask(List<Planner.Slot> wanting) {
        Map<Kind, Integer> counts = new LinkedHashMap<>();
        Map<Kind, Planner.Slot> examples = new LinkedHashMap<>();
        for (Planner.Slot s : wanting) {
            Kind kind = new Kind(s.type.name(), s.zone, s.spot);
            counts.merge(kind, 1, Integer::sum);
            examples.putIfAbsent(kind, s);
        }
        counts.forEach(
                (kind, count) -> {
                    for (int left = count;
                            left > 0 && pending.size() < atOnce;
                            left -= Tuning.RENT_AT_ONCE) {
                        // The name contains the term, so that no other leader uses it, nor this
                        // node after a restart.
                        CloudOp.Rent rent =
                                new CloudOp.Rent(
                                        "part-"
                                                + part.shardNumber
                                                + "-"
                                                + part.term()
                                                + "-"
                                                + nextHire++,
                                        kind.type,
                                        kind.zone,
                                        kind.spot,
                                        Math.min(left, Tuning.RENT_AT_ONCE));
                        pending.add(new Pending(rent, examples.get(kind)));
                    }
                });
        step();
    }

    /** Sends the pending requests that are due, new ones and those to be repeated. */
    void step() {
        if (outbox.now.monotonicMs() < againMs
                || (failing && pending.stream().anyMatch(p -> p.inFlight))) {
            return;
        }
        for (Pending p : pending) {
            if (!p.inFlight) {
                p.askedWallMs = outbox.now.wallMs();
                p.inFlight =
                        outbox.callCloud(
                                p.rent,
                                reply -> {
                                    p.inFlight = false;
                                    replied(p, reply);
                                });
                if (!p.inFlight || failing) {
                    return;
                }
            }
        }
    }

    private void replied(Pending p, CloudReply reply) {
        CloudOp.Rent rent = p.rent;
        Kind kind = new Kind(rent.type(), rent.zone(), rent.spot());
        boolean capacity =
                reply.status() == 503
                        && reply.body() != null
                        && "no capacity".equals(reply.body().get("error"));
        failing = reply.status() != 200 && reply.status() != 400 && !capacity;
        if (failing) {
            // A request without an answer may have taken effect: it is repeated under its name.
            againMs = outbox.now.monotonicMs() + Tuning.CLOUD_RETRY_MS;
            return;
        }
        pending.remove(p);
        if (pending.isEmpty()) {
            fleet.planSoon();
        }
        if (reply.status() == 200) {
            rented(rent, kind, reply, p.askedWallMs);
        } else if (capacity) {
            refusedUntil.put(kind, outbox.now.monotonicMs() + Tuning.NO_CAPACITY_MS);
        } else {
            outbox.logInfo(
                    "cloud: refused the rental of "
                            + rent.type()
                            + " in "
                            + rent.zone()
                            + " as malformed");
        }
    }

    private void rented(CloudOp.Rent rent, Kind kind, CloudReply reply, long askedWallMs) {
        try {
            List<String> names = CloudFormat.rented(new FieldMap(reply.body()));
            outbox.logInfo(
                    "rented: "
                            + names.size()
                            + " of "
                            + rent.count()
                            + " "
                            + rent.type()
                            + " in "
                            + rent.zone()
                            + (rent.spot() ? ", spot" : ", ordinary")
                            + " for part "
                            + part.shardNumber);
            if (names.size() < rent.count()) {
                refusedUntil.put(kind, outbox.now.monotonicMs() + Tuning.NO_CAPACITY_MS);
            }
            for (String id : names) {
                fleet.rented(id, rent, askedWallMs);
            }
        } catch (FieldMap.Missing e) {
            outbox.logInfo("cloud: rental not understood: " + e.getMessage());
        }
    }
}
