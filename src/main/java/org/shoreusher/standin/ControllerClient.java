package org.shoreusher.standin;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;

/** Blocking client of a controller. Thread-safe. */
public final class ControllerClient implements AutoCloseable {
    private static final long TIMEOUT_MS = 2_000;

    /** A response; status 0 if there was none. */
    public record Reply(int status, Map<String, Object> body) {}

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpCaller caller;

    /** A client of the controller whose front address has this port on loopback. */
    public ControllerClient(int port) {
        caller = new HttpCaller(group.next(), new Settings.Address("127.0.0.1", port));
    }

    /** Sends a request and waits for the response: a GET if the body is null, else a POST. */
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
