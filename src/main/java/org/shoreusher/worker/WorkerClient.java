package org.shoreusher.worker;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.netty.channel.EventLoop;
import org.shoreusher.core.Effect;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.WorkerFormat;

/** Sends direct commands to workers. What came of them, the workers' next reports show. */
public final class WorkerClient {
    private final EventLoop loop;
    private final Cache<String, HttpCaller> callers = Caffeine.newBuilder().maximumSize(Tuning.WORKERS_KEPT).executor(Runnable::run).build();

    public WorkerClient(EventLoop loop) {
        this.loop = loop;
    }

    public void send(Effect.Orders orders) {
        Settings.Address address = Settings.addressOrNull(orders.address());
        if (address != null) {
            callers.get(orders.address(), a -> new HttpCaller(loop, address)).call("/orders",
                    WorkerFormat.direct(orders.token(), orders.session(), orders.orders()), Tuning.ORDERS_TIMEOUT_MS, (status, body) -> { });
        }
    }
}
