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
 * Polls the cloud's machine list, which lags behind, for one shard. From it the shard learns which
 * of its machines have been terminated, and which machines have no record and need to be adopted.
 */
final class MachineList {
    private final Part part;
    private final Settings settings;
    private final Outbox outbox;
    private final MachineTypes types;

    /** Listed machines without a record, with the steady ms at which they were first seen. */
    private final Object2LongOpenHashMap<String> strays = new Object2LongOpenHashMap<>();

    /** Names of the machines in the newest complete list. */
    private Set<String> listed = Set.of();

    /** Machines that have been terminated, oldest first; the cloud never uses a name again. */
    private final ObjectLinkedOpenHashSet<String> gone = new ObjectLinkedOpenHashSet<>();

    private long nextListMs;

    /** The list that is being read page by page; null between two lists. */
    private Reading reading;

    private boolean awaitingReply;

    /**
     * The pages of a list read so far.
     *
     * @param askedAt when the first page was requested
     */
    private record Reading(ClockReading askedAt, List<Listed> machines) {
        /** The last machine so far, after which the next page begins; null for the first page. */
        String lastName() {
            return machines.isEmpty() ? null : machines.get(machines.size() - 1).machineId();
        }
    }

    /** Creates the inventory of a shard; nothing is listed yet. */
    MachineList(Part part, Settings settings, Outbox outbox, MachineTypes types) {
        this.part = part;
        this.settings = settings;
        this.outbox = outbox;
        this.types = types;
    }

    /**
     * Remembers that a machine of the shard has been terminated, so that late messages add it not
     * again.
     */
    void forget(String id) {
        gone.add(id);
        if (gone.size() > Tuning.GONE_NAMES) {
            gone.removeFirst();
        }
    }

    /** Whether the machine is known to have been terminated. */
    boolean isGone(String id) {
        return gone.contains(id);
    }

    /** Whether the newest complete list has the machine. */
    boolean isListed(String id) {
        return listed.contains(id);
    }

    /**
     * Requests the next page when it is due. A page that the rate limit holds back is requested in
     * the next step, and the pages so far are kept: at 4,000 machines a list has more pages than
     * the limit's burst, and one that started over each time would never be complete.
     */
    void step() {
        if (awaitingReply) {
            return;
        }
        if (reading == null) {
            if (outbox.now.monotonicMs() < nextListMs) {
                return;
            }
            reading = new Reading(outbox.now, new ArrayList<>());
        }
        awaitingReply = outbox.callCloud(new CloudOp.Listing(reading.lastName()), this::replied);
    }

    private void replied(CloudReply reply) {
        awaitingReply = false;
        Reading current = reading;
        // Reconciliation waits for machines until a list shows that they are terminated.
        nextListMs =
                outbox.now.monotonicMs()
                        + (part.isReconciled() ? Tuning.LIST_EVERY_MS : Tuning.LIST_IN_REBUILD_MS);
        reading = null;
        if (reply.status() != 200 || part.isLeadershipLost()) {
            return;
        }
        try {
            ListPage page = CloudFormat.machines(new FieldMap(reply.body()));
            current.machines().addAll(page.machines());
            if (page.hasMore() && !page.machines().isEmpty()) {
                reading = current;
                step();
            } else {
                listed(current.machines(), current.askedAt());
            }
        } catch (FieldMap.Missing e) {
            outbox.logInfo("cloud: machine list not understood: " + e.getMessage());
        }
    }

    private void listed(List<Listed> all, ClockReading askedAt) {
        Set<String> names = new HashSet<>();
        for (Listed l : all) {
            names.add(l.machineId());
            Machine m = part.machines().get(l.machineId());
            if (m != null && l.state().equals("failed")) {
                part.lifecycle().stopped(m);
            }
            if (m == null && part.lifecycle().strayHere(l.machineId())) {
                stray(l);
            } else {
                // Otherwise a machine that is terminated later, and that a lagging list still has,
                // would count as seen before.
                strays.removeLong(l.machineId());
            }
        }
        strays.keySet().retainAll(names);
        listed = names;
        // Lists are at most twice their lag old, and a machine once listed stays in them until it
        // is
        // terminated.
        long shown = (long) (2 * settings.listLagS() * 1000) + Tuning.LIST_SLACK_MS;
        for (Machine m : new ArrayList<>(part.machines().values())) {
            if (!names.contains(m.id) && askedAt.wallMs() - m.rentedWallMs > shown) {
                part.lifecycle().gone(m, "no longer in the cloud's list");
            }
        }
    }

    /**
     * Adopts a listed machine without a record once it has been listed for long enough that no
     * reply to a provisioning request can still be on its way.
     */
    private void stray(Listed l) {
        if (!strays.containsKey(l.machineId())) {
            strays.put(l.machineId(), outbox.now.monotonicMs());
        } else if (outbox.now.monotonicMs() - strays.getLong(l.machineId())
                > (gone.contains(l.machineId())
                        ? Tuning.GONE_STILL_LISTED_MS
                        : 2 * Tuning.LIST_EVERY_MS)) {
            strays.removeLong(l.machineId());
            gone.remove(l.machineId());
            outbox.logInfo("adopted: " + l.machineId() + " in part " + part.shardNumber);
            part.lifecycle()
                    .add(
                            l.machineId(),
                            types.get(l.type()),
                            l.zone(),
                            l.spot(),
                            outbox.now.wallMs() - (long) (l.ageS() * 1000));
        }
    }
}
