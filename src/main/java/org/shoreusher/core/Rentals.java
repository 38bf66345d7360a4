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
 * Asks the cloud for machines, as many requests at once as its call rate allows in a second: one at
 * a time took ten seconds to rent a thousand machines.
 *
 * <p>Promise: a request without an answer is repeated under its own name until it has one, and no
 * name is used for another request, by this owner or a later one.
 */
final class Rentals {
    /** A kind of machine as the cloud has or lacks it. */
    record Kind(String type, String zone, boolean spot) {}

    /** A request whose answer is still open. */
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
    private final Object2LongOpenHashMap<Kind> refusedUntil = new Object2LongOpenHashMap<>();
    private final List<Pending> pending = new ArrayList<>();
    private long nextHire = 1;

    /**
     * After a failure one request at a time finds out whether the cloud is back, or all of them
     * would use up the rate.
     */
    private boolean failing;

    private long againMs;

    Rentals(Part part, Settings settings, Outbox outbox, Fleet fleet) {
        this.part = part;
        this.outbox = outbox;
        this.fleet = fleet;
        atOnce = Math.max(1, (int) (settings.cloudRps() * Tuning.RATE_USE));
    }

    /** Whether the cloud has lately had no machine of this kind. */
    boolean refused(Kind kind) {
        return refusedUntil.getLong(kind) > outbox.now.steadyMs();
    }

    /** How many more machines can be asked for just now. */
    int room() {
        return (atOnce - pending.size()) * Tuning.RENT_AT_ONCE;
    }

    /** Machines that have been asked for, as empty room. */
    List<Planner.Slot> coming() {
        List<Planner.Slot> slots = new ArrayList<>();
        for (Pending p : pending) {
            for (int i = 0; i < p.rent.count(); i++) {
                slots.add(new Planner.Slot(p.example.type, p.example.zone, p.example.spot));
            }
        }
        return slots;
    }

    /** Asks for machines like these, at most {@link #room} of them. */
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
                        // The name contains the term, so no other owner and no restart can use it
                        // again.
                        CloudOp.Rent rent =
                                new CloudOp.Rent(
                                        "part-"
                                                + part.number
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

    /** Sends what is due. */
    void step() {
        if (outbox.now.steadyMs() < againMs
                || (failing && pending.stream().anyMatch(p -> p.inFlight))) {
            return;
        }
        for (Pending p : pending) {
            if (!p.inFlight) {
                p.askedWallMs = outbox.now.wallMs();
                p.inFlight =
                        outbox.cloud(
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
            // Without an answer it may have been carried out: only the same name is safe to repeat.
            againMs = outbox.now.steadyMs() + Tuning.CLOUD_RETRY_MS;
            return;
        }
        pending.remove(p);
        if (pending.isEmpty()) {
            fleet.planSoon();
        }
        if (reply.status() == 200) {
            rented(rent, kind, reply, p.askedWallMs);
        } else if (capacity) {
            refusedUntil.put(kind, outbox.now.steadyMs() + Tuning.NO_CAPACITY_MS);
        } else {
            outbox.log(
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
            outbox.log(
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
                            + part.number);
            if (names.size() < rent.count()) {
                refusedUntil.put(kind, outbox.now.steadyMs() + Tuning.NO_CAPACITY_MS);
            }
            for (String id : names) {
                fleet.rented(id, rent, askedWallMs);
            }
        } catch (FieldMap.Missing e) {
            outbox.log("cloud: rental not understood: " + e.getMessage());
        }
    }
}
