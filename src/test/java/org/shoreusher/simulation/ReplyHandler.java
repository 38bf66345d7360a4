package org.shoreusher.simulation;

import java.util.Map;

/** Receives the response to a call of the store or the cloud. */
interface ReplyHandler {
    /**
     * Takes a response.
     *
     * @param status the HTTP status; 0 if there was no response in time
     * @param body the fields; null without a body
     */
    void respond(int status, Map<String, Object> body);
}
