package org.shoreusher.core.message;

import java.util.List;
import java.util.Map;
import org.shoreusher.standby.StandbyMessage;

/**
 * An input of {@code Node.step}. Request ids and call ids link an answer to what it answers: a
 * request id is answered by {@link Effect.Respond}, a call id was issued by {@link
 * Effect.StoreCall} or {@link Effect.CloudCall}.
 */
public sealed interface Command {

    /**
     * A user submits a job.
     *
     * @param requestId the request to answer
     * @param jobId the job's id, chosen by the user; a second submission with the same id is
     *     idempotent
     * @param spec the job's description; null if the body was invalid
     * @param validationError why the body was invalid; null if it was valid
     */
    record Submit(long requestId, String jobId, JobSpec spec, String validationError)
            implements Command {}

    /**
     * A user asks for the state of a job.
     *
     * @param requestId the request to answer
     * @param jobId the job's id
     */
    record Poll(long requestId, String jobId) implements Command {}

    /**
     * A user cancels a job.
     *
     * @param requestId the request to answer
     * @param jobId the job's id
     */
    record Cancel(long requestId, String jobId) implements Command {}

    /**
     * The load balancer asks whether this node can take requests.
     *
     * @param requestId the request to answer
     */
    record ReadinessCheck(long requestId) implements Command {}

    /**
     * A worker sends a heartbeat.
     *
     * @param requestId the request to answer
     * @param workerHeartbeat the content of the heartbeat
     */
    record Heartbeat(long requestId, WorkerHeartbeat workerHeartbeat) implements Command {}

    /**
     * The key-value store answered a call, or the call failed.
     *
     * @param callId the id of the call
     * @param status the HTTP status; 0 if there was no answer, in which case the call may have been
     *     executed, or may yet be
     * @param body the fields of the answer
     */
    record StoreReply(long callId, int status, Map<String, Object> body) implements Command {}

    /**
     * The cloud answered a call, or the call failed.
     *
     * @param callId the id of the call
     * @param status the HTTP status; 0 if there was no answer, in which case the call may have been
     *     executed, or may yet be
     * @param body the fields of the answer
     */
    record CloudReply(long callId, int status, Map<String, Object> body) implements Command {}

    /**
     * Gossip from another controller.
     *
     * @param message the gossip message
     */
    record Gossip(GossipMessage message) implements Command {}

    /**
     * A message of the standby replication from another controller.
     *
     * @param message a frame of the attempt log, or an acknowledgement
     */
    record Standby(StandbyMessage message) implements Command {}

    /** Time has passed; due work is done. */
    record Tick() implements Command {}

    /**
     * A machine in a listing of the cloud.
     *
     * @param machineId the machine's id
     * @param type the name of its machine type
     * @param zone its zone
     * @param spot whether it is a spot machine, which the cloud may interrupt
     * @param state its state in the words of the cloud
     * @param ageS seconds since it was provisioned
     */
    record ListedMachine(
            String machineId, String type, String zone, boolean spot, String state, double ageS) {}

    /**
     * One page of a listing of the cloud.
     *
     * @param machines the machines on the page
     * @param hasMore whether further pages follow
     */
    record MachineListPage(List<ListedMachine> machines, boolean hasMore) {}
}
