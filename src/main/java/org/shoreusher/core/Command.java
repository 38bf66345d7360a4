package org.shoreusher.core;

import java.util.List;
import java.util.Map;
import org.shoreusher.standby.StandbyMessage;

/**
 * An input of {@link Node#step}. Request ids and call ids link an answer to what it answers: a
 * request id is answered by {@link Effect.Answer}, a call id was issued by {@link Effect.StateCall}
 * or {@link Effect.CloudCall}.
 */
public sealed interface Command {

    /**
     * A user submits a job.
     *
     * @param request the request to answer
     * @param id the job's id, chosen by the user; a second submission with the same id is
     *     idempotent
     * @param spec the job's description; null if the body was invalid
     * @param problem why the body was invalid; null if it was valid
     */
    record Submit(long request, String id, JobSpec spec, String problem) implements Command {}

    /**
     * A user asks for the state of a job.
     *
     * @param request the request to answer
     * @param id the job's id
     */
    record Poll(long request, String id) implements Command {}

    /**
     * A user cancels a job.
     *
     * @param request the request to answer
     * @param id the job's id
     */
    record Cancel(long request, String id) implements Command {}

    /**
     * The load balancer asks whether this node can take requests.
     *
     * @param request the request to answer
     */
    record Ready(long request) implements Command {}

    /**
     * A worker sends a heartbeat.
     *
     * @param request the request to answer
     * @param report the content of the heartbeat
     */
    record Report(long request, WorkerReport report) implements Command {}

    /**
     * The key-value store answered a call, or the call failed.
     *
     * @param call the id of the call
     * @param status the HTTP status; 0 if there was no answer, in which case the call may have been
     *     executed, or may yet be
     * @param body the fields of the answer
     */
    record StateReply(long call, int status, Map<String, Object> body) implements Command {}

    /**
     * The cloud answered a call, or the call failed.
     *
     * @param call the id of the call
     * @param status the HTTP status; 0 if there was no answer, in which case the call may have been
     *     executed, or may yet be
     * @param body the fields of the answer
     */
    record CloudReply(long call, int status, Map<String, Object> body) implements Command {}

    /**
     * Gossip from another controller.
     *
     * @param hint the gossip message
     */
    record PeerHint(Hint hint) implements Command {}

    /**
     * A message of the standby replication from another controller.
     *
     * @param message a frame of the attempt log, or an acknowledgement
     */
    record FromPeer(StandbyMessage message) implements Command {}

    /** Time has passed; due work is done. */
    record Tick() implements Command {}

    /**
     * A machine in a listing of the cloud.
     *
     * @param id the machine's id
     * @param type the name of its machine type
     * @param zone its zone
     * @param spot whether it is a spot machine, which the cloud may interrupt
     * @param state its state in the words of the cloud
     * @param ageS seconds since it was provisioned
     */
    record Listed(String id, String type, String zone, boolean spot, String state, double ageS) {}

    /**
     * One page of a listing of the cloud.
     *
     * @param machines the machines on the page
     * @param more whether further pages follow
     */
    record ListPage(List<Listed> machines, boolean more) {}
}
