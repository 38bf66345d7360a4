package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.machine.MachineLifecycle.RemovalReason;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command.CloudReply;
import org.shoreusher.core.message.Command.ListedMachine;
import org.shoreusher.core.message.Command.MachineListPage;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.CloudFormat;
import org.shoreusher.wire.FieldMap;

/**
 * Polls the cloud's inventory, its list of machines, for one shard. The list lags behind. Machines
 * of the shard that are missing from it long after they were provisioned have been terminated and
 * are removed, machines that it reports as failed are drained, and listed machines without a record
 * are adopted.
 */
public final class CloudInventory {
    /** Protocol value of the state of a listed machine that stopped without being terminated. */
    private static final String FAILED_STATE = "failed";

    private final ShardState shard;
    private final ShardAuthority authority;
    private final Settings settings;
    private final Outbox outbox;
    private final MachineTypeCatalog typeCatalog;
    private final MachineLifecycle lifecycle;
    private final TerminatedMachines terminatedMachines;

    /**
     * Listed machines without a record that this shard would adopt, with the monotonic ms at which
     * each of them was first listed.
     */
    private final Object2LongOpenHashMap<String> unrecordedSinceMs = new Object2LongOpenHashMap<>();

    /** Ids of the machines in the newest complete list. */
    private Set<String> listedIds = Set.of();

    private long nextListMs;

    /** The list that is being read page by page; null between two lists. */
    private PartialList partialList;

    private boolean awaitingReply;

    /**
     * The pages of a list read so far.
     *
     * @param requestedAt when the first page was requested
     */
    private record PartialList(ClockReading requestedAt, List<ListedMachine> machines) {
        /** The last machine read so far, after which the next page begins; null if none. */
        String lastMachineId() {
            return machines.isEmpty() ? null : machines.get(machines.size() - 1).machineId();
        }
    }

    /** Creates the inventory of a shard; nothing is listed yet. */
    public CloudInventory(
            ShardContext context,
            MachineTypeCatalog typeCatalog,
            MachineLifecycle lifecycle,
            TerminatedMachines terminatedMachines) {
        shard = context.state();
        authority = context.authority();
        settings = context.settings();
        outbox = context.outbox();
        this.typeCatalog = typeCatalog;
        this.lifecycle = lifecycle;
        this.terminatedMachines = terminatedMachines;
    }

    /** Whether the newest complete list contains the machine; false before the first list. */
    public boolean isListed(String id) {
        return listedIds.contains(id);
    }

    /**
     * Requests the next page when it is due. If the rate limit leaves no token, the page is
     * requested in the next step, and the pages read so far are kept: at 4,000 machines a list has
     * more pages than the limit allows in a burst, so a list that started over each time would
     * never be complete.
     */
    void step() {
        if (awaitingReply) {
            return;
        }
        if (partialList == null) {
            if (outbox.now().monotonicMs() < nextListMs) {
                return;
            }
            partialList = new PartialList(outbox.now(), new ArrayList<>());
        }
        awaitingReply =
                outbox.callCloud(
                        new CloudOperation.ListMachines(partialList.lastMachineId()),
                        this::handlePage);
    }

    private void handlePage(CloudReply reply) {
        awaitingReply = false;
        PartialList current = partialList;
        // Reconciliation waits for a terminated machine until a list shows that it no longer
        // exists, so lists are read more often until then.
        nextListMs =
                outbox.now().monotonicMs()
                        + (authority.isReconciled()
                                ? MachineConstants.INVENTORY_INTERVAL_MS
                                : MachineConstants.RECONCILIATION_INVENTORY_INTERVAL_MS);
        partialList = null;
        if (reply.status() != ReplyStatus.OK || authority.isLeadershipLost()) {
            return;
        }
        try {
            MachineListPage page = CloudFormat.readMachinePage(new FieldMap(reply.body()));
            current.machines().addAll(page.machines());
            if (page.hasMore() && !page.machines().isEmpty()) {
                partialList = current;
                step();
            } else {
                applyList(current.machines(), current.requestedAt());
            }
        } catch (FieldMap.InvalidFieldException e) {
            outbox.log(
                    LogEvent.of(LogEventType.CLOUD_REPLY_INVALID)
                            .with("call", "list_machines")
                            .with("problem", e.getMessage()));
        }
    }

    private void applyList(List<ListedMachine> listedMachines, ClockReading requestedAt) {
        Set<String> ids = new HashSet<>();
        for (ListedMachine listedMachine : listedMachines) {
            ids.add(listedMachine.machineId());
            applyListedMachine(listedMachine);
        }
        unrecordedSinceMs.keySet().retainAll(ids);
        listedIds = ids;
        removeUnlistedMachines(requestedAt);
    }

    private void applyListedMachine(ListedMachine listedMachine) {
        Machine machine = shard.machines().get(listedMachine.machineId());
        if (machine != null && listedMachine.state().equals(FAILED_STATE)) {
            lifecycle.handleMachineFailure(machine);
        }
        if (machine == null && lifecycle.shouldAdopt(listedMachine.machineId())) {
            adoptIfStillListed(listedMachine);
        } else {
            // If the time of the first listing remained after the shard has recorded the machine,
            // a lagging list that still contains the machine after its termination could cause
            // its immediate adoption, because it would count as unrecorded since that time.
            unrecordedSinceMs.removeLong(listedMachine.machineId());
        }
    }

    private void removeUnlistedMachines(ClockReading requestedAt) {
        long minAgeMs = minListedAgeMs();
        for (Machine machine : new ArrayList<>(shard.machines().values())) {
            if (!isListed(machine.id())
                    && requestedAt.wallMs() - machine.provisionedWallMs() > minAgeMs) {
                lifecycle.removeTerminated(machine, RemovalReason.NOT_LISTED);
            }
        }
    }

    /**
     * Age in ms from which on a machine is certainly in a list, unless it has been terminated. A
     * list shows a state that is at most twice the inventory's lag old. The time at which the
     * machine was provisioned may come from the clock of a previous leader.
     */
    private long minListedAgeMs() {
        return (long) (2 * settings.inventoryLagS() * 1000)
                + 2 * settings.maxClockOffsetMs()
                + MachineConstants.INVENTORY_LAG_MARGIN_MS;
    }

    /**
     * Adopts a listed machine without a record once it has been listed for so long that no reply to
     * a provision request for it can still arrive. A machine considered terminated must have been
     * listed for far longer than the inventory's lag.
     */
    private void adoptIfStillListed(ListedMachine listedMachine) {
        String id = listedMachine.machineId();
        long nowMs = outbox.now().monotonicMs();
        if (!unrecordedSinceMs.containsKey(id)) {
            unrecordedSinceMs.put(id, nowMs);
            return;
        }
        long adoptionDelayMs =
                terminatedMachines.contains(id)
                        ? MachineConstants.TERMINATED_STILL_LISTED_MS
                        : 2 * MachineConstants.INVENTORY_INTERVAL_MS;
        if (nowMs - unrecordedSinceMs.getLong(id) > adoptionDelayMs) {
            unrecordedSinceMs.removeLong(id);
            terminatedMachines.remove(id);
            outbox.log(
                    LogEvent.of(LogEventType.MACHINE_ADOPTED)
                            .with("machine", id)
                            .with("shard", shard.shardNumber()));
            lifecycle.addNewMachine(
                    id,
                    typeCatalog.get(listedMachine.type()),
                    listedMachine.zone(),
                    listedMachine.spot(),
                    outbox.now().wallMs() - (long) (listedMachine.ageS() * 1000));
        }
    }
}
