package org.shoreusher.worker;

import io.netty.channel.EventLoop;
import java.util.Optional;
import org.shoreusher.core.message.Effect;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.WorkerFormat;

/**
 * Sends orders directly to workers. Responses are ignored, since the workers' next heartbeats show
 * the effect. Direct orders are rare and machines many, so no connection is kept: pooled
 * connections to hundreds of workers once used up all sockets of a node.
 */
public final class WorkerClient {
    private final EventLoop loop;
    private int callsInFlight;

    /** A client that runs on an event loop. */
    public WorkerClient(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Sends orders without waiting for a response. Dropped if the address is invalid or too many
     * calls are in flight; the worker then gets them with the response to its next heartbeat.
     */
    public void sendOrders(Effect.SendOrders orders) {
        Optional<Settings.Address> address = Settings.Address.parse(orders.workerAddress());
        if (address.isEmpty() || callsInFlight >= WorkerConstants.MAX_DIRECT_ORDERS_IN_FLIGHT) {
            return;
        }
        callsInFlight++;
        new HttpCaller(loop, address.get(), 0)
                .call(
                        "/orders",
                        WorkerFormat.directOrders(
                                orders.fencingToken(), orders.workerIncarnation(), orders.orders()),
                        WorkerConstants.DIRECT_ORDERS_TIMEOUT_MS,
                        (status, body) -> callsInFlight--);
    }
}
