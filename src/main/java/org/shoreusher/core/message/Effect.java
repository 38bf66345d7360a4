package org.shoreusher.core.message;

import java.util.List;
import java.util.Map;
import org.shoreusher.log.LogEvent;
import org.shoreusher.standby.StandbyMessage;

/** An output of {@code Node.step}: an action that the surrounding process carries out. */
public sealed interface Effect {

    /**
     * Responds to a request.
     *
     * @param requestId the id of the request
     * @param response the response
     */
    record Respond(long requestId, Response response) implements Effect {}

    /**
     * Calls the key-value store. The reply arrives as a {@link Command.StoreReply}.
     *
     * @param callId the id that the reply will carry
     * @param operation the operation
     * @param urgent whether the call is for a leader's lease, and so must not queue behind other
     *     calls
     */
    record StoreCall(long callId, StoreOperation operation, boolean urgent) implements Effect {}

    /**
     * Calls the cloud. The reply arrives as a {@link Command.CloudReply}.
     *
     * @param callId the id that the reply will carry
     * @param operation the operation
     */
    record CloudCall(long callId, CloudOperation operation) implements Effect {}

    /**
     * Sends orders directly to a worker, without waiting for its next heartbeat. The worker sends
     * no response, and the message may be lost.
     *
     * @param workerAddress the worker's network address
     * @param fencingToken the fencing token: the leader's term. A worker rejects a token lower than
     *     the highest one it has received
     * @param workerIncarnation the worker incarnation that the orders are for; in any other
     *     incarnation the worker drops them
     * @param orders the orders
     */
    record SendOrders(
            String workerAddress,
            long fencingToken,
            long workerIncarnation,
            List<WorkerOrder> orders)
            implements Effect {}

    /**
     * Sends gossip to all peers; it may be lost.
     *
     * @param message the gossip message
     */
    record SendGossip(GossipMessage message) implements Effect {}

    /**
     * Sends a message of the standby replication to one peer; it may be lost.
     *
     * @param host the peer's host
     * @param message a frame of the attempt log, or an acknowledgement
     */
    record SendStandbyMessage(String host, StandbyMessage message) implements Effect {}

    /**
     * Sends a message about the cancellation of a job to one peer; it may be lost.
     *
     * @param host the peer's host
     * @param message a notice or an acknowledgement
     */
    record SendCancellationMessage(String host, CancellationMessage message) implements Effect {}

    /** Writes an event to the operators' log. */
    record Log(LogEvent event) implements Effect {}

    /** An operation of the key-value store. */
    sealed interface StoreOperation {
        /**
         * Reads one key.
         *
         * @param key the key
         */
        record Get(String key) implements StoreOperation {}

        /**
         * Reads a page of all entries in the order of their keys.
         *
         * @param afterKey the last key of the previous page; null for the first page
         */
        record Page(String afterKey) implements StoreOperation {}

        /**
         * Writes several keys atomically if all preconditions are met; otherwise writes nothing,
         * and the reply has status 409.
         *
         * @param preconditions by key, the version that the key must have; 0 if the key must be
         *     absent
         * @param writes the new values by key; a null value removes the key. If the map is empty,
         *     the operation is a linearizable check of the preconditions
         */
        record CompareAndSwap(
                Map<String, Long> preconditions, Map<String, Map<String, Object>> writes)
                implements StoreOperation {}

        /**
         * Waits for changes and reads them.
         *
         * @param afterRevision the revision after which changes are read
         * @param blockMs how long the store waits for the first change, in ms; 0 if it does not
         *     wait
         */
        record Watch(long afterRevision, long blockMs) implements StoreOperation {}
    }

    /** An operation of the cloud. */
    sealed interface CloudOperation {
        /** Reads the machine types and their prices. */
        record ListTypes() implements CloudOperation {}

        /**
         * Provisions machines.
         *
         * @param name the unique name of the request; the cloud carries out repeated requests of
         *     the same name only once
         * @param type the name of the machine type
         * @param zone the zone
         * @param spot whether to provision spot machines
         * @param count the number of machines; the cloud may provision fewer
         */
        record Provision(String name, String type, String zone, boolean spot, int count)
                implements CloudOperation {}

        /**
         * Terminates machines.
         *
         * @param machineIds the ids of the machines
         */
        record Terminate(List<String> machineIds) implements CloudOperation {}

        /**
         * Lists the provisioned machines, page by page.
         *
         * @param afterMachineId the last machine id of the previous page; null for the first page
         */
        record ListMachines(String afterMachineId) implements CloudOperation {}
    }
}
