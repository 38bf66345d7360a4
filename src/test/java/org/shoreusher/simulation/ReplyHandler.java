package org.shoreusher.simulation;

import java.util.Map;

/** Receives the reply to a call of the store or the cloud. */
interface ReplyHandler {
    /**
     * Called with the reply, or once the call has timed out.
     *
     * @param status the HTTP status; 0 if there was no reply in time
     * @param body the fields of the body; null without a body
     */
    void accept(int status, Map<String, Object> body);
}
