package org.shoreusher.worker;

import io.netty.channel.EventLoop;
import java.util.Optional;
import org.shoreusher.core.message.Effect;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.WorkerFormat;

/**
 * Sends orders directly to workers. Responses are ignored, since the effect shows in the workers'
 * next heartbeats. Connections are not kept, because direct orders are rare and machines many:
 * pooled connections to hundreds of workers have exhausted the sockets of a node.
 */
public final class WorkerClient {
    private static final int MAX_IDLE_CONNECTIONS = 0;

    private final EventLoop loop;
    private int callsInFlight;

    /** Creates a client whose methods and connections run on an event loop. */
    public WorkerClient(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Sends orders without waiting for the response. They are dropped if the address is invalid or
     * too many calls are in flight; the response to the worker's next heartbeat contains them too.
     */
    public void sendOrders(Effect.SendOrders orders) {
        Optional<Settings.Address> address = Settings.Address.parse(orders.workerAddress());
        if (address.isEmpty() || callsInFlight >= WorkerConstants.MAX_DIRECT_ORDERS_IN_FLIGHT) {
            return;
        }
        callsInFlight++;
        new HttpCaller(loop, address.get(), MAX_IDLE_CONNECTIONS)
                .call(
                        "/orders",
                        WorkerFormat.directOrders(
                                orders.fencingToken(), orders.workerIncarnation(), orders.orders()),
                        WorkerConstants.DIRECT_ORDERS_TIMEOUT_MS,
                        (status, body) -> callsInFlight--);
    }
}
