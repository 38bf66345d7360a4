package org.shoreusher.simulation;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.core.message.Effect;
import org.shoreusher.peer.GossipCodec;
import org.shoreusher.peer.StandbyMessageCodec;
import org.shoreusher.wire.CancellationFormat;
import org.shoreusher.wire.CloudFormat;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.ResponseFormat;
import org.shoreusher.wire.StoreFormat;
import org.shoreusher.wire.WireRequest;
import org.shoreusher.wire.WorkerFormat;

/**
 * A hash over effects in their order, as they leave the process: paths, statuses, and the bytes of
 * bodies and messages. Log events and the names of Java classes, fields and enum constants do not
 * enter it.
 *
 * <p>The fields of a body are hashed in the order of their names, because some bodies are made with
 * {@link Map#of}, whose order differs between runs of the virtual machine. Lists keep their order.
 */
final class EffectHash {
    private static final int RESPONSE = 1;
    private static final int STORE_CALL = 2;
    private static final int CLOUD_CALL = 3;
    private static final int DIRECT_ORDERS = 4;
    private static final int GOSSIP = 5;
    private static final int STANDBY_MESSAGE = 6;
    private static final int CANCELLATION_MESSAGE = 7;

    private final HashStream64 stream = Hashing.xxh3_64().hashStream();
    private final GossipCodec gossipCodec = new GossipCodec();
    private long effects;

    /** Adds an effect of the controller of a host; a log event is ignored. */
    void add(String host, Effect effect) {
        if (effect instanceof Effect.Respond response) {
            beginEffect(RESPONSE, host).putLong(response.requestId());
            stream.putInt(ResponseFormat.statusCode(response.response()));
            stream.putInt(ResponseFormat.retryAfterS(response.response()));
            addBody(ResponseFormat.body(response.response()));
        } else if (effect instanceof Effect.StoreCall call) {
            beginEffect(STORE_CALL, host).putLong(call.callId()).putBoolean(call.urgent());
            addRequest(StoreFormat.request(call.operation()));
        } else if (effect instanceof Effect.CloudCall call) {
            beginEffect(CLOUD_CALL, host).putLong(call.callId());
            addRequest(CloudFormat.request(call.operation()));
        } else if (effect instanceof Effect.SendOrders orders) {
            beginEffect(DIRECT_ORDERS, host).putString(orders.workerAddress());
            addBody(
                    WorkerFormat.directOrders(
                            orders.fencingToken(), orders.workerIncarnation(), orders.orders()));
        } else if (effect instanceof Effect.SendGossip gossip) {
            beginEffect(GOSSIP, host);
            addBytes(gossipCodec.encode(gossip.message()));
        } else if (effect instanceof Effect.SendStandbyMessage standby) {
            beginEffect(STANDBY_MESSAGE, host).putString(standby.host());
            addBytes(StandbyMessageCodec.encode(standby.message()));
        } else if (effect instanceof Effect.SendCancellationMessage cancellation) {
            beginEffect(CANCELLATION_MESSAGE, host).putString(cancellation.host());
            addBytes(CancellationFormat.encode(cancellation.message()));
        }
    }

    /** The hash and the number of effects that it covers. */
    String text() {
        return String.format("%016x %d", stream.getAsLong(), effects);
    }

    private HashStream64 beginEffect(int kind, String host) {
        effects++;
        return stream.putByte((byte) kind).putString(host);
    }

    private void addRequest(WireRequest request) {
        stream.putString(request.body() == null ? "GET" : "POST").putString(request.path());
        if (request.body() != null) {
            addBody(request.body());
        }
    }

    private void addBody(Map<String, Object> body) {
        addBytes(FieldMap.toCbor(sortFields(body)));
    }

    private void addBytes(byte[] bytes) {
        stream.putByteArray(bytes);
    }

    /** Copies a map with its fields, and those of all maps in it, sorted by name. */
    static Map<String, Object> sortFields(Map<?, ?> map) {
        Map<String, Object> sorted = new TreeMap<>();
        map.forEach((key, value) -> sorted.put((String) key, sortFieldsWithin(value)));
        return sorted;
    }

    private static Object sortFieldsWithin(Object value) {
        if (value instanceof Map<?, ?> map) {
            return sortFields(map);
        }
        if (value instanceof List<?> list) {
            List<Object> sorted = new ArrayList<>(list.size());
            list.forEach(entry -> sorted.add(sortFieldsWithin(entry)));
            return sorted;
        }
        return value;
    }
}
