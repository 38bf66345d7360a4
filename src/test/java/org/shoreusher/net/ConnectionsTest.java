package org.shoreusher.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SharedConstants;
import org.shoreusher.user.FrontendConstants;
import org.shoreusher.user.HttpFrontend;
import org.shoreusher.worker.WorkerClient;

/** Closing of connections and rejection of requests, on real sockets of the loopback interface. */
class ConnectionsTest {
    private static final int SOCKET_TIMEOUT_MS = 20_000;
    private static final int MAX_CLIENT_CONNECTIONS = 2;

    private static final String UNKNOWN_PATH_MESSAGE =
            "GET /nothing is not supported; allowed are POST /v2/runs, GET /v2/runs/ID,"
                    + " POST /v2/runs/ID/cancel, POST /hello and GET /ready";

    /**
     * Connections to hundreds of workers that stayed open after direct orders exhausted the sockets
     * of a node, so that users could not connect.
     */
    @Example
    void closesConnectionsAfterDirectOrders() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(SOCKET_TIMEOUT_MS);
            WorkerClient client = new WorkerClient(group.next());
            group.next()
                    .execute(
                            () ->
                                    client.sendOrders(
                                            new Effect.SendOrders(
                                                    "127.0.0.1:" + server.getLocalPort(),
                                                    /* fencingToken= */ 1,
                                                    /* workerIncarnation= */ 1,
                                                    List.of(
                                                            new WorkerOrder(
                                                                    WorkerOrder.Kind.STOP,
                                                                    "wk-1",
                                                                    /* taskIndex= */ 0,
                                                                    /* attemptNumber= */ 1,
                                                                    /* gracePeriodS= */ 0)))));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(SOCKET_TIMEOUT_MS);
                InputStream input = socket.getInputStream();
                assertTrue(input.read(new byte[4_096]) > 0);
                socket.getOutputStream()
                        .write(
                                "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                int read = 0;
                while (read >= 0) {
                    // Reads the rest of the request up to the end of the stream: the client closes
                    // the connection, although the response allows it to stay open.
                    read = input.read(new byte[4_096]);
                }
                assertEquals(-1, read);
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * After a network partition, half of the machines leave dead connections that look open. When
     * all sockets are in use, the least recently used connection is closed. Rejecting new
     * connections instead left no client that could be served.
     */
    @Example
    void closesTheLeastRecentlyUsedConnectionAtTheSocketLimit() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        int port = freePort();
        HttpFrontend frontend =
                new HttpFrontend(
                        group,
                        settings(port, SharedConstants.RESERVED_SOCKETS + MAX_CLIENT_CONNECTIONS),
                        /* core= */ command -> true,
                        /* eventLoopDelayMs= */ () -> 0L);
        frontend.listen();
        try (Socket first = new Socket(InetAddress.getLoopbackAddress(), port);
                Socket second = new Socket(InetAddress.getLoopbackAddress(), port)) {
            assertEquals(404, requestUnknownPath(first));
            assertEquals(404, requestUnknownPath(second));
            // Leaves the second connection as the least recently used one.
            assertEquals(404, requestUnknownPath(first));
            try (Socket third = new Socket(InetAddress.getLoopbackAddress(), port)) {
                assertEquals(404, requestUnknownPath(third));
                assertEquals(404, requestUnknownPath(first));
                second.setSoTimeout(SOCKET_TIMEOUT_MS);
                assertEquals(-1, second.getInputStream().read());
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** A body above the protocol's limit gets status 400, so that users do not retry. */
    @Example
    void rejectsAnOversizedBodyWithStatus400() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        int port = freePort();
        new HttpFrontend(
                        group,
                        settings(port, SharedConstants.RESERVED_SOCKETS + MAX_CLIENT_CONNECTIONS),
                        /* core= */ command -> true,
                        /* eventLoopDelayMs= */ () -> 0L)
                .listen();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            socket.getOutputStream()
                    .write(
                            ("POST /v2/runs HTTP/1.1\r\nhost: x\r\ncontent-length: "
                                            + (FrontendConstants.MAX_REQUEST_BODY_BYTES + 1)
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            byte[] bytes = new byte[4_096];
            int read = socket.getInputStream().read(bytes);
            assertEquals(
                    "HTTP/1.1 400",
                    new String(bytes, 0, read, StandardCharsets.ISO_8859_1).substring(0, 12));
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * A call whose body cannot be encoded gets no reply, like one that cannot be sent. When it was
     * counted as in flight forever, later calls failed.
     */
    @Example
    void callsWithAnInvalidBodyGetNoReplyAndBlockNothing() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(SOCKET_TIMEOUT_MS);
            HttpCaller caller =
                    new HttpCaller(
                            group.next(), new Settings.Address("127.0.0.1", server.getLocalPort()));
            for (int i = 0; i <= NetConstants.MAX_CALLS_PER_TARGET; i++) {
                assertEquals(
                        ReplyStatus.NO_REPLY,
                        call(group, caller, Map.of("text", "\ud83d"))
                                .get(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS));
            }
            CompletableFuture<Integer> status = call(group, caller, Map.of("text", "valid"));
            try (Socket socket = server.accept()) {
                assertTrue(socket.getInputStream().read(new byte[4_096]) > 0);
                socket.getOutputStream()
                        .write(
                                "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                assertEquals(ReplyStatus.OK, status.get(SOCKET_TIMEOUT_MS, TimeUnit.MILLISECONDS));
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static CompletableFuture<Integer> call(
            NioEventLoopGroup group, HttpCaller caller, Map<String, Object> body) {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        group.next()
                .execute(
                        () ->
                                caller.call(
                                        "/multi",
                                        body,
                                        SOCKET_TIMEOUT_MS,
                                        (replyStatus, reply) -> status.complete(replyStatus)));
        return status;
    }

    private static int freePort() throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private static int requestUnknownPath(Socket socket) throws Exception {
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
        socket.getOutputStream()
                .write(
                        "GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
        byte[] bytes = new byte[4_096];
        StringBuilder response = new StringBuilder();
        // The body ends with this message: no part of it is left for the next response.
        while (!response.toString().endsWith(UNKNOWN_PATH_MESSAGE)) {
            int read = socket.getInputStream().read(bytes);
            assertTrue(read > 0, "connection closed after: " + response);
            response.append(new String(bytes, 0, read, StandardCharsets.ISO_8859_1));
        }
        return Integer.parseInt(response.substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3));
    }

    private static Settings settings(int port, int sockets) {
        Settings.Address front = new Settings.Address("127.0.0.1", port);
        return new Settings(
                "node",
                "a",
                front,
                front,
                List.of(),
                front,
                front,
                /* nodeCount= */ 3,
                List.of("a"),
                /* teams= */ Map.of(),
                /* objectives= */ List.of(),
                /* heartbeatIntervalS= */ 1.5,
                /* workerLeaseS= */ 8,
                /* cancellationLimitS= */ 30,
                /* storeRequestsPerS= */ 400,
                /* storeWritesPerS= */ 100,
                /* maxValueBytes= */ 4096,
                /* maxTransactionWrites= */ 12,
                /* cloudRequestsPerS= */ 10,
                /* inventoryLagS= */ 3,
                sockets,
                /* maxClockOffsetMs= */ 80);
    }
}
