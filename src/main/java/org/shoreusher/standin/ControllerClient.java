package org.shoreusher.standin;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;

/** Blocking client of a controller. Thread-safe. */
public final class ControllerClient implements AutoCloseable {
    private static final long TIMEOUT_MS = 2_000;
    private static final int CREATED = 201;

    /** A response. */
    public record Response(int status, Map<String, Object> body) {
        /** There was no response. */
        public static final Response NONE = new Response(ReplyStatus.NO_REPLY, null);

        /** Whether the request succeeded. */
        public boolean isOk() {
            return status == ReplyStatus.OK;
        }

        /** Whether a submitted job has been accepted, now or by an earlier request. */
        public boolean isAccepted() {
            return status == ReplyStatus.OK || status == CREATED;
        }
    }

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpCaller caller;

    /** A client of the controller whose front address has this port on loopback. */
    public ControllerClient(int port) {
        caller = new HttpCaller(group.next(), new Settings.Address("127.0.0.1", port));
    }

    /** Sends a request and waits for the response: a GET if the body is null, else a POST. */
    public Response call(String path, Map<String, Object> body) throws InterruptedException {
        CompletableFuture<Response> reply = new CompletableFuture<>();
        if (group.isShuttingDown()) {
            return Response.NONE;
        }
        group.next()
                .execute(
                        () ->
                                caller.call(
                                        path,
                                        body,
                                        TIMEOUT_MS,
                                        (status, answer) ->
                                                reply.complete(new Response(status, answer))));
        try {
            return reply.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return Response.NONE;
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
