package org.shoreusher.wire;

import java.util.Map;

/**
 * An HTTP request to the store or the cloud: a GET if the body is null, else a POST.
 *
 * @param path path and query
 * @param body the body, to be encoded as CBOR; null for none
 */
public record WireRequest(String path, Map<String, Object> body) {
    /** A request without a body. */
    static WireRequest get(String path) {
        return new WireRequest(path, null);
    }
}
