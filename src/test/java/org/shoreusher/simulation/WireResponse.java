package org.shoreusher.simulation;

import java.util.Map;
import org.shoreusher.core.message.Effect;
import org.shoreusher.wire.ResponseFormat;

/** A response in its wire format; {@code retryAfterS} is 0 without a Retry-After header. */
record WireResponse(long requestId, int status, Map<String, Object> body, int retryAfterS) {
    static WireResponse of(Effect.Respond response) {
        return new WireResponse(
                response.requestId(),
                ResponseFormat.statusCode(response.response()),
                ClusterSimulation.deepCopy(ResponseFormat.body(response.response())),
                ResponseFormat.retryAfterS(response.response()));
    }
}
