package org.shoreusher.core;

import java.util.List;
import java.util.Map;
import org.shoreusher.standby.StandbyMessage;

/** What comes to the core. {@code request} and {@code call} numbers lead answers back. */
public sealed interface Command {

    /** A user submits; {@code spec} is null if {@code problem} says why the body can't be used. */
    record Submit(long request, String id, JobSpec spec, String problem) implements Command {}

    /** A user asks for a job. */
    record Poll(long request, String id) implements Command {}

    /** A user cancels a job. */
    record Cancel(long request, String id) implements Command {}

    /** The load balancer asks whether this node can take requests. */
    record Ready(long request) implements Command {}

    /** A worker reports. */
    record Report(long request, WorkerReport report) implements Command {}

    /**
     * The state service answered; status 0: no answer, the call may have been or yet be executed.
     */
    record StateReply(long call, int status, Map<String, Object> body) implements Command {}

    /** The cloud answered; status 0 as above. */
    record CloudReply(long call, int status, Map<String, Object> body) implements Command {}

    /** A peer's hint. */
    record PeerHint(Hint hint) implements Command {}

    /** A message of the warm standby from another controller. */
    record FromPeer(StandbyMessage message) implements Command {}

    /** Time has passed. */
    record Tick() implements Command {}

    /** Machines in an answer of the cloud. */
    record Listed(String id, String type, String zone, boolean spot, String state, double ageS) {}

    /** A page of machines. */
    record ListPage(List<Listed> machines, boolean more) {}
}
