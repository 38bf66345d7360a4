package org.shoreusher.model;

import java.util.Map;
import org.shoreusher.core.Effect;
import org.shoreusher.wire.ResponseFormat;

/** A response as its receiver sees it on the wire. */
record WireAnswer(long request, int status, Map<String, Object> body, int retryAfterS) {
    static WireAnswer of(Effect.Respond answer) {
        return new WireAnswer(
                answer.requestId(),
                ResponseFormat.statusCode(answer.response()),
                World.copy(ResponseFormat.body(answer.response())),
                ResponseFormat.retryAfterS(answer.response()));
    }
}
