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

    /** A response; the body is null if there was none. */
    public record Response(int status, Map<String, Object> body) {
        /** Stands for a response that did not arrive in time. */
        public static final Response NONE = new Response(ReplyStatus.NO_REPLY, null);

        /** Whether the request succeeded. */
        public boolean isOk() {
            return status == ReplyStatus.OK;
        }

        /** Whether a submitted job was accepted, by this request or by an earlier one. */
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

    /**
     * Sends a request and waits for the response: a GET if the body is null, else a POST.
     *
     * @return {@link Response#NONE} if there is no response in time or the client is closed
     */
    public Response call(String path, Map<String, Object> body) throws InterruptedException {
        CompletableFuture<Response> response = new CompletableFuture<>();
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
                                        (status, responseBody) ->
                                                response.complete(
                                                        new Response(status, responseBody))));
        try {
            // The caller's timeout starts only when the connection is open.
            return response.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return Response.NONE;
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
