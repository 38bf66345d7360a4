package org.shoreusher.worker;

import io.netty.channel.EventLoop;
import org.shoreusher.core.Effect;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.WorkerFormat;

/**
 * Sends direct commands to workers. What came of them, the workers' next reports show. Commands are
 * rare and machines many, so no connection is kept: those kept to hundreds of workers once took
 * every socket of a node.
 */
public final class WorkerClient {
    private final EventLoop loop;
    private int inFlight;

    /** A client on an event loop. */
    public WorkerClient(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Sends commands; beyond a bound on those in flight they are left to the answer of the worker's
     * next report.
     */
    public void send(Effect.Orders orders) {
        Settings.Address address = Settings.addressOrNull(orders.address());
        if (address == null || inFlight >= Tuning.ORDERS_AT_ONCE) {
            return;
        }
        inFlight++;
        new HttpCaller(loop, address, 0)
                .call(
                        "/orders",
                        WorkerFormat.direct(orders.token(), orders.session(), orders.orders()),
                        Tuning.ORDERS_TIMEOUT_MS,
                        (status, body) -> inFlight--);
    }
}
