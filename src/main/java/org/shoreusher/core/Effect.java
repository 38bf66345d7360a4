package org.shoreusher.core;

import java.util.List;
import java.util.Map;
import org.shoreusher.standby.StandbyMessage;

/** What the core wants done. */
public sealed interface Effect {

    /** Answers a request. */
    record Answer(long request, Response response) implements Effect {}

    /**
     * Calls the state service; {@code urgent}: a heartbeat or takeover, which must not wait behind
     * others.
     */
    record StateCall(long call, StateOp op, boolean urgent) implements Effect {}

    /** Calls the cloud. */
    record CloudCall(long call, CloudOp op) implements Effect {}

    /** Sends commands straight to a worker; no answer is waited for. */
    record Orders(String address, long token, long session, List<WorkerOrder> orders)
            implements Effect {}

    /** Tells the peers. */
    record Tell(Hint hint) implements Effect {}

    /** Sends a message of the warm standby to one controller; it may be lost. */
    record SendToPeer(String host, StandbyMessage message) implements Effect {}

    /** One line for the operator; {@code detail}: only at the debug level. */
    record Log(String line, boolean detail) implements Effect {}

    /** Calls of the state service. */
    sealed interface StateOp {
        /** Reads one key. */
        record Get(String key) implements StateOp {}

        /** Reads a page of all keys. */
        record Page(String after) implements StateOp {}

        /** Compares and writes; a null value removes. */
        record Multi(Map<String, Long> guards, Map<String, Map<String, Object>> writes)
                implements StateOp {}

        /** Waits for changes. */
        record Watch(long after, long blockMs) implements StateOp {}
    }

    /** Calls of the cloud. */
    sealed interface CloudOp {
        /** Asks for types and prices. */
        record Types() implements CloudOp {}

        /** Rents. */
        record Rent(String name, String type, String zone, boolean spot, int count)
                implements CloudOp {}

        /** Returns. */
        record Return(List<String> machines) implements CloudOp {}

        /** Lists. */
        record Listing(String after) implements CloudOp {}
    }
}
