package org.shoreusher.core.message;

import java.util.List;
import java.util.Map;
import org.shoreusher.standby.StandbyMessage;

/**
 * An input of {@code Node.step}. A request id links a request to its {@link Effect.Respond}. A call
 * id links a reply to its {@link Effect.StoreCall} or {@link Effect.CloudCall}.
 */
public sealed interface Command {

    /** A request, to which the node responds. */
    sealed interface Request extends Command {
        /** The id of the request. */
        long requestId();
    }

    /**
     * A user submits a job.
     *
     * @param requestId the id of the request
     * @param jobId the job's id, chosen by the user; a second submission with the same id is
     *     idempotent
     * @param spec the job's description; null if the body was invalid
     * @param validationError why the body was invalid; null if it was valid
     */
    record Submit(long requestId, String jobId, JobSpec spec, String validationError)
            implements Request {}

    /**
     * A user requests the state of a job.
     *
     * @param requestId the id of the request
     * @param jobId the job's id
     */
    record Poll(long requestId, String jobId) implements Request {}

    /**
     * A user cancels a job.
     *
     * @param requestId the id of the request
     * @param jobId the job's id
     */
    record Cancel(long requestId, String jobId) implements Request {}

    /**
     * The load balancer checks whether this node can serve requests.
     *
     * @param requestId the id of the request
     */
    record ReadinessCheck(long requestId) implements Request {}

    /**
     * A worker sends a heartbeat.
     *
     * @param requestId the id of the request
     * @param workerHeartbeat the content of the heartbeat
     */
    record Heartbeat(long requestId, WorkerHeartbeat workerHeartbeat) implements Request {}

    /**
     * The key-value store replied to a call, or the call failed.
     *
     * @param callId the id of the call
     * @param status the HTTP status; 0 if there was no reply, in which case the call may have been
     *     executed, or may yet be
     * @param body the fields of the reply
     */
    record StoreReply(long callId, int status, Map<String, Object> body) implements Command {}

    /**
     * The cloud replied to a call, or the call failed.
     *
     * @param callId the id of the call
     * @param status the HTTP status; 0 if there was no reply, in which case the call may have been
     *     executed, or may yet be
     * @param body the fields of the reply
     */
    record CloudReply(long callId, int status, Map<String, Object> body) implements Command {}

    /**
     * A peer sent gossip.
     *
     * @param message the gossip message
     */
    record Gossip(GossipMessage message) implements Command {}

    /**
     * A peer sent a message of the standby replication.
     *
     * @param message a frame of the attempt log, or an acknowledgement
     */
    record Standby(StandbyMessage message) implements Command {}

    /**
     * A peer sent a message about the cancellation of a job.
     *
     * @param message a notice or an acknowledgement
     */
    record Cancellation(CancellationMessage message) implements Command {}

    /** Time has passed: the node does its due work without another input. */
    record Tick() implements Command {}

    /**
     * A machine in a listing of the cloud.
     *
     * @param machineId the machine's id
     * @param type the name of its machine type
     * @param zone its zone
     * @param spot whether it is a spot machine, which the cloud may interrupt
     * @param state its state, as named by the cloud
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
