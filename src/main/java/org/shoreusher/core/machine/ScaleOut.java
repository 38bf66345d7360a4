package org.shoreusher.core.machine;

import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.cluster.ShardState;
import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.message.Command.CloudReply;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.schedule.MachineCapacity;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreConstants;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.wire.CloudFormat;
import org.shoreusher.wire.FieldMap;

/**
 * Provisions machines. Sends as many requests at once as the cloud's rate limit allows per second:
 * one at a time took ten seconds for a thousand machines.
 *
 * <p>Guarantee: requests are idempotent. A request without a final reply is repeated under the same
 * name until it has one, for as long as this node leads the shard, and no leader ever uses its name
 * for another request.
 */
final class ScaleOut {
    /** Error in a reply of the cloud when it has no capacity for a kind of machine (protocol). */
    private static final String NO_CAPACITY_ERROR = "no capacity";

    /** A request that has no final reply yet. */
    private static final class PendingRequest {
        final CloudOperation.Provision request;
        final MachineCapacity capacityPerMachine;
        boolean inFlight;

        PendingRequest(CloudOperation.Provision request, MachineCapacity capacityPerMachine) {
            this.request = request;
            this.capacityPerMachine = capacityPerMachine;
        }
    }

    private final ShardState shard;
    private final ShardAuthority authority;
    private final Outbox outbox;
    private final MachineLifecycle lifecycle;
    private final Runnable onAllCompleted;
    private final int maxPendingRequests;

    /** Monotonic ms until which a kind of machine is not requested, after a lack of capacity. */
    private final Object2LongOpenHashMap<MachineKind> unavailableUntilMs =
            new Object2LongOpenHashMap<>();

    private final List<PendingRequest> pendingRequests = new ArrayList<>();
    private long nextRequestNumber = 1;

    /**
     * Whether the newest reply was missing or a failure that is not final. Then requests are sent
     * one at a time until one gets a final reply, since sending all of them would use up the rate
     * limit during an outage.
     */
    private boolean cloudFailing;

    private long nextRetryMs;

    /**
     * Creates the scale-out of a shard without pending requests.
     *
     * @param onAllCompleted called when the last pending request gets its final reply
     */
    ScaleOut(ShardContext context, MachineLifecycle lifecycle, Runnable onAllCompleted) {
        shard = context.state();
        authority = context.authority();
        outbox = context.outbox();
        this.lifecycle = lifecycle;
        this.onAllCompleted = onAllCompleted;
        double requestsPerS =
                context.settings().cloudRequestsPerS() * StoreConstants.RATE_LIMIT_USE_SHARE;
        maxPendingRequests = Math.max(1, (int) requestsPerS);
    }

    /** Whether the cloud has recently had no capacity for this kind of machine. */
    boolean isUnavailable(MachineKind kind) {
        return unavailableUntilMs.getLong(kind) > outbox.now().monotonicMs();
    }

    /** Number of further machines that can be requested now. */
    int maxNewMachines() {
        return (maxPendingRequests - pendingRequests.size())
                * MachineConstants.MAX_MACHINES_PER_PROVISION;
    }

    /** The capacity of each machine in the pending requests. */
    List<MachineCapacity> pendingCapacity() {
        List<MachineCapacity> capacities = new ArrayList<>();
        for (PendingRequest pendingRequest : pendingRequests) {
            for (int i = 0; i < pendingRequest.request.count(); i++) {
                capacities.add(
                        new MachineCapacity(
                                pendingRequest.capacityPerMachine.type(),
                                pendingRequest.capacityPerMachine.zone(),
                                pendingRequest.capacityPerMachine.isSpot()));
            }
        }
        return capacities;
    }

    /**
     * Requests machines of the same kinds as these, as far as the limit on pending requests allows.
     */
    void requestMachines(List<MachineCapacity> toProvision) {
        Map<MachineKind, Integer> countByKind = new LinkedHashMap<>();
        Map<MachineKind, MachineCapacity> capacityByKind = new LinkedHashMap<>();
        for (MachineCapacity capacity : toProvision) {
            MachineKind kind =
                    new MachineKind(capacity.type().name(), capacity.zone(), capacity.isSpot());
            countByKind.merge(kind, 1, Integer::sum);
            capacityByKind.putIfAbsent(kind, capacity);
        }
        countByKind.forEach(
                (kind, count) -> {
                    for (int remaining = count;
                            remaining > 0 && pendingRequests.size() < maxPendingRequests;
                            remaining -= MachineConstants.MAX_MACHINES_PER_PROVISION) {
                        pendingRequests.add(
                                new PendingRequest(
                                        newRequest(kind, remaining), capacityByKind.get(kind)));
                    }
                });
        step();
    }

    private CloudOperation.Provision newRequest(MachineKind kind, int machineCount) {
        // The name contains the term, so that neither another leader of the shard nor this node
        // after a restart uses it again.
        String name =
                "part-" + shard.shardNumber() + "-" + authority.term() + "-" + nextRequestNumber++;
        return new CloudOperation.Provision(
                name,
                kind.type(),
                kind.zone(),
                kind.spot(),
                Math.min(machineCount, MachineConstants.MAX_MACHINES_PER_PROVISION));
    }

    /** Sends the pending requests that are not in flight, new and repeated ones, if that is due. */
    void step() {
        if (outbox.now().monotonicMs() < nextRetryMs
                || (cloudFailing
                        && pendingRequests.stream()
                                .anyMatch(pendingRequest -> pendingRequest.inFlight))) {
            return;
        }
        for (PendingRequest pendingRequest : pendingRequests) {
            if (!pendingRequest.inFlight) {
                pendingRequest.inFlight =
                        outbox.callCloud(
                                pendingRequest.request,
                                reply -> {
                                    pendingRequest.inFlight = false;
                                    handleReply(pendingRequest, reply);
                                });
                // Not in flight: the rate limit left no token for the request.
                if (!pendingRequest.inFlight || cloudFailing) {
                    return;
                }
            }
        }
    }

    private void handleReply(PendingRequest pendingRequest, CloudReply reply) {
        CloudOperation.Provision request = pendingRequest.request;
        MachineKind kind = new MachineKind(request.type(), request.zone(), request.spot());
        boolean outOfCapacity =
                reply.status() == ReplyStatus.SERVICE_UNAVAILABLE
                        && reply.body() != null
                        && NO_CAPACITY_ERROR.equals(reply.body().get("error"));
        cloudFailing =
                reply.status() != ReplyStatus.OK
                        && reply.status() != ReplyStatus.BAD_REQUEST
                        && !outOfCapacity;
        if (cloudFailing) {
            // A request without a reply may have taken effect, so it is repeated under its name.
            nextRetryMs = outbox.now().monotonicMs() + MachineConstants.CLOUD_RETRY_MS;
            return;
        }
        pendingRequests.remove(pendingRequest);
        if (pendingRequests.isEmpty()) {
            onAllCompleted.run();
        }
        if (reply.status() == ReplyStatus.OK) {
            handleProvisioned(request, kind, reply);
        } else if (outOfCapacity) {
            markUnavailable(kind);
        } else {
            outbox.log(
                    LogEvent.of(LogEventType.PROVISION_REJECTED)
                            .with("type", request.type())
                            .with("zone", request.zone()));
        }
    }

    private void markUnavailable(MachineKind kind) {
        unavailableUntilMs.put(
                kind, outbox.now().monotonicMs() + MachineConstants.NO_CAPACITY_BACKOFF_MS);
    }

    private void handleProvisioned(
            CloudOperation.Provision request, MachineKind kind, CloudReply reply) {
        try {
            List<String> machineIds = CloudFormat.readMachineIds(new FieldMap(reply.body()));
            outbox.log(
                    LogEvent.of(LogEventType.MACHINES_PROVISIONED)
                            .with("shard", shard.shardNumber())
                            .with("count", machineIds.size())
                            .with("requested", request.count())
                            .with("type", request.type())
                            .with("zone", request.zone())
                            .with("spot", request.spot()));
            if (machineIds.size() < request.count()) {
                markUnavailable(kind);
            }
            for (String id : machineIds) {
                lifecycle.addProvisioned(id, request);
            }
        } catch (FieldMap.InvalidFieldException e) {
            outbox.log(
                    LogEvent.of(LogEventType.CLOUD_REPLY_INVALID)
                            .with("call", "provision")
                            .with("problem", e.getMessage()));
        }
    }
}
