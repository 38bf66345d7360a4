package org.shoreusher.standin;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;

/** Calls a controller and waits for the answer; safe for use by several threads. */
public final class ControllerClient implements AutoCloseable {
    private static final long TIMEOUT_MS = 2_000;

    /** An answer; status 0 if there was none. */
    public record Reply(int status, Map<String, Object> body) {}

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpCaller caller;

    /** Calls the controller whose front listens on this port of loopback. */
    public ControllerClient(int port) {
        caller = new HttpCaller(group.next(), new Settings.Address("127.0.0.1", port));
    }

    /** A GET without a body, else a POST. */
    public Reply call(String path, Map<String, Object> body) throws InterruptedException {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        if (group.isShuttingDown()) {
            return new Reply(0, null);
        }
        group.next()
                .execute(
                        () ->
                                caller.call(
                                        path,
                                        body,
                                        TIMEOUT_MS,
                                        (status, answer) ->
                                                reply.complete(new Reply(status, answer))));
        try {
            return reply.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return new Reply(0, null);
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
