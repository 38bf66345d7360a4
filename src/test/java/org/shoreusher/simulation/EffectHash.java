package org.shoreusher.simulation;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.core.message.Effect;
import org.shoreusher.peer.GossipCodec;
import org.shoreusher.peer.MessageBytes;
import org.shoreusher.wire.CloudFormat;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.ResponseFormat;
import org.shoreusher.wire.StoreFormat;
import org.shoreusher.wire.WireRequest;
import org.shoreusher.wire.WorkerFormat;

/**
 * One hash over effects in their order, as they leave the process: paths, statuses and bytes of
 * bodies and messages. Log lines and names of Java classes, fields and enum constants do not count.
 *
 * <p>The fields of a body are hashed by name, because bodies are made with {@link Map#of} too,
 * whose order differs from one virtual machine to the next. Lists keep their order.
 */
final class EffectHash {
    private static final int ANSWER = 1;
    private static final int STATE = 2;
    private static final int CLOUD = 3;
    private static final int ORDERS = 4;
    private static final int HINT = 5;
    private static final int STANDBY = 6;

    private final HashStream64 stream = Hashing.xxh3_64().hashStream();
    private final GossipCodec hints = new GossipCodec();
    private long effects;

    void take(String host, Effect effect) {
        if (effect instanceof Effect.Respond a) {
            begin(ANSWER, host).putLong(a.requestId());
            stream.putInt(ResponseFormat.statusCode(a.response()));
            stream.putInt(ResponseFormat.retryAfterS(a.response()));
            body(ResponseFormat.body(a.response()));
        } else if (effect instanceof Effect.StoreCall c) {
            begin(STATE, host).putLong(c.callId()).putBoolean(c.urgent());
            request(StoreFormat.request(c.operation()));
        } else if (effect instanceof Effect.CloudCall c) {
            begin(CLOUD, host).putLong(c.callId());
            request(CloudFormat.request(c.operation()));
        } else if (effect instanceof Effect.SendOrders o) {
            begin(ORDERS, host).putString(o.workerAddress());
            body(WorkerFormat.directOrders(o.fencingToken(), o.workerIncarnation(), o.orders()));
        } else if (effect instanceof Effect.SendGossip t) {
            begin(HINT, host);
            bytes(hints.encode(t.message()));
        } else if (effect instanceof Effect.SendStandbyMessage s) {
            begin(STANDBY, host).putString(s.host());
            bytes(MessageBytes.of(s.message()));
        }
    }

    /** The hash, and how many effects it covers. */
    String text() {
        return String.format("%016x %d", stream.getAsLong(), effects);
    }

    private HashStream64 begin(int kind, String host) {
        effects++;
        return stream.putByte((byte) kind).putString(host);
    }

    private void request(WireRequest request) {
        stream.putString(request.body() == null ? "GET" : "POST").putString(request.path());
        if (request.body() != null) {
            body(request.body());
        }
    }

    private void body(Map<String, Object> body) {
        bytes(FieldMap.toCbor(byName(body)));
    }

    private void bytes(byte[] bytes) {
        stream.putByteArray(bytes);
    }

    /** The map with the fields of all maps in it by name. */
    static Map<String, Object> byName(Map<?, ?> map) {
        Map<String, Object> sorted = new TreeMap<>();
        map.forEach((key, value) -> sorted.put((String) key, inOrder(value)));
        return sorted;
    }

    private static Object inOrder(Object value) {
        if (value instanceof Map<?, ?> map) {
            return byName(map);
        }
        if (value instanceof List<?> list) {
            List<Object> out = new ArrayList<>(list.size());
            list.forEach(entry -> out.add(inOrder(entry)));
            return out;
        }
        return value;
    }
}
