package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.shoreusher.core.Command.CloudReply;
import org.shoreusher.core.Command.ListPage;
import org.shoreusher.core.Command.Listed;
import org.shoreusher.core.Effect.CloudOp;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.CloudFormat;
import org.shoreusher.wire.FieldMap;

/**
 * Reads the cloud's machine list, which lags: from it a part learns which of its machines are gone,
 * and which machines nobody knows of.
 */
final class MachineList {
    private final Part part;
    private final Settings settings;
    private final Outbox outbox;
    private final MachineTypes types;

    /** Machines that lists show and no record does, with the moment they were first seen. */
    private final Object2LongOpenHashMap<String> strays = new Object2LongOpenHashMap<>();

    /** Machines in the newest list. */
    private Set<String> listed = Set.of();

    /** Machines that have been there and are gone; names are never used again. */
    private final ObjectLinkedOpenHashSet<String> gone = new ObjectLinkedOpenHashSet<>();

    private long nextListMs;

    /** The list that is being read; null between two lists. */
    private Reading reading;

    private boolean awaitingReply;

    /** The pages of a list read so far. {@code askedAt}: when the first was asked for. */
    private record Reading(ClockReading askedAt, List<Listed> machines) {
        /** The last machine so far, behind which the next page begins; null for the first page. */
        String lastName() {
            return machines.isEmpty() ? null : machines.get(machines.size() - 1).id();
        }
    }

    MachineList(Part part, Settings settings, Outbox outbox, MachineTypes types) {
        this.part = part;
        this.settings = settings;
        this.outbox = outbox;
        this.types = types;
    }

    /** A machine of the part is gone. */
    void forget(String id) {
        gone.add(id);
        if (gone.size() > Tuning.GONE_NAMES) {
            gone.removeFirst();
        }
    }

    boolean isGone(String id) {
        return gone.contains(id);
    }

    boolean isListed(String id) {
        return listed.contains(id);
    }

    /**
     * Asks for the next page when it is due. A page for which there is no token is asked for again
     * in the next step: at 4,000 machines a list has more pages than a second's burst of calls, and
     * one that began anew each time would never be read whole.
     */
    void step() {
        if (awaitingReply) {
            return;
        }
        if (reading == null) {
            if (outbox.now.steadyMs() < nextListMs) {
                return;
            }
            reading = new Reading(outbox.now, new ArrayList<>());
        }
        awaitingReply = outbox.cloud(new CloudOp.Listing(reading.lastName()), this::replied);
    }

    private void replied(CloudReply reply) {
        awaitingReply = false;
        Reading current = reading;
        // A rebuild waits for machines that are gone, until a list no longer shows them.
        nextListMs =
                outbox.now.steadyMs()
                        + (part.rebuilt() ? Tuning.LIST_EVERY_MS : Tuning.LIST_IN_REBUILD_MS);
        reading = null;
        if (reply.status() != 200 || part.lost()) {
            return;
        }
        try {
            ListPage page = CloudFormat.machines(new FieldMap(reply.body()));
            current.machines().addAll(page.machines());
            if (page.more() && !page.machines().isEmpty()) {
                reading = current;
                step();
            } else {
                listed(current.machines(), current.askedAt());
            }
        } catch (FieldMap.Missing e) {
            outbox.log("cloud: machine list not understood: " + e.getMessage());
        }
    }

    private void listed(List<Listed> all, ClockReading askedAt) {
        Set<String> names = new HashSet<>();
        for (Listed l : all) {
            names.add(l.id());
            Machine m = part.machines().get(l.id());
            if (m != null && l.state().equals("failed")) {
                part.lifecycle().stopped(m);
            }
            if (m == null && part.lifecycle().strayHere(l.id())) {
                stray(l);
            } else {
                // Else a machine returned later, which a lagging list still shows, would count as
                // seen before.
                strays.removeLong(l.id());
            }
        }
        strays.keySet().retainAll(names);
        listed = names;
        // Lists are at most twice their lag old, and a machine once listed stays so until it is
        // gone.
        long shown = (long) (2 * settings.listLagS() * 1000) + Tuning.LIST_SLACK_MS;
        for (Machine m : new ArrayList<>(part.machines().values())) {
            if (!names.contains(m.id) && askedAt.wallMs() - m.rentedWallMs > shown) {
                part.lifecycle().gone(m, "no longer in the cloud's list");
            }
        }
    }

    /**
     * A machine of which no record tells: taken on once it is sure that no answer to a rental is
     * still on its way.
     */
    private void stray(Listed l) {
        if (!strays.containsKey(l.id())) {
            strays.put(l.id(), outbox.now.steadyMs());
        } else if (outbox.now.steadyMs() - strays.getLong(l.id())
                > (gone.contains(l.id())
                        ? Tuning.GONE_STILL_LISTED_MS
                        : 2 * Tuning.LIST_EVERY_MS)) {
            strays.removeLong(l.id());
            gone.remove(l.id());
            outbox.log("adopted: " + l.id() + " in part " + part.number);
            part.lifecycle()
                    .add(
                            l.id(),
                            types.get(l.type()),
                            l.zone(),
                            l.spot(),
                            outbox.now.wallMs() - (long) (l.ageS() * 1000));
        }
    }
}
