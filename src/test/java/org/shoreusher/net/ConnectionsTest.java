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
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SharedConstants;
import org.shoreusher.user.FrontendConstants;
import org.shoreusher.user.HttpFrontend;
import org.shoreusher.worker.WorkerClient;

/**
 * Connections on loopback, with a simulated peer that answers and waits for the other side to close
 * the connection.
 */
class ConnectionsTest {
    /**
     * Open connections to hundreds of workers once took every socket of a node, and users were
     * refused.
     */
    @Example
    void closesConnectionsAfterDirectOrders() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(20_000);
            WorkerClient client = new WorkerClient(group.next());
            group.next()
                    .execute(
                            () ->
                                    client.sendOrders(
                                            new Effect.SendOrders(
                                                    "127.0.0.1:" + server.getLocalPort(),
                                                    1,
                                                    1,
                                                    List.of(
                                                            new WorkerOrder(
                                                                    WorkerOrder.Kind.STOP,
                                                                    "wk-1",
                                                                    0,
                                                                    1,
                                                                    0)))));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(20_000);
                InputStream in = socket.getInputStream();
                assertTrue(in.read(new byte[4_096]) > 0);
                socket.getOutputStream()
                        .write(
                                "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                int read = 0;
                while (read >= 0) {
                    // The rest of the request, then the end of the stream: the caller has closed
                    // the connection, though the response would keep it open.
                    read = in.read(new byte[4_096]);
                }
                assertEquals(-1, read);
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * Behind a partition half of the machines leave connections that look open. The longest idle
     * one is closed when all sockets are in use. New connections were once refused instead, so that
     * nobody could be served.
     */
    @Example
    void closesTheLongestIdleConnectionAtTheSocketLimit() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        int port = freePort();
        HttpFrontend front =
                new HttpFrontend(
                        group,
                        settings(port, SharedConstants.RESERVED_SOCKETS + 2),
                        command -> true,
                        () -> 0L);
        front.listen();
        try (Socket first = new Socket(InetAddress.getLoopbackAddress(), port);
                Socket second = new Socket(InetAddress.getLoopbackAddress(), port)) {
            assertEquals(404, requestUnknownPath(first));
            assertEquals(404, requestUnknownPath(second));
            assertEquals(404, requestUnknownPath(first));
            try (Socket third = new Socket(InetAddress.getLoopbackAddress(), port)) {
                assertEquals(404, requestUnknownPath(third));
                assertEquals(404, requestUnknownPath(first));
                second.setSoTimeout(20_000);
                assertEquals(-1, second.getInputStream().read());
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** A body above the protocol's limit is malformed, so that users do not retry. */
    @Example
    void rejectsATooLongBodyAsMalformed() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        int port = freePort();
        new HttpFrontend(
                        group,
                        settings(port, SharedConstants.RESERVED_SOCKETS + 2),
                        command -> true,
                        () -> 0L)
                .listen();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(20_000);
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

    private static int freePort() throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    private static int requestUnknownPath(Socket socket) throws Exception {
        socket.setSoTimeout(20_000);
        socket.getOutputStream()
                .write(
                        "GET /nothing HTTP/1.1\r\nhost: x\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
        byte[] bytes = new byte[4_096];
        StringBuilder answer = new StringBuilder();
        // The body ends with this message, so that nothing of it is left for the next response.
        while (!answer.toString().endsWith("no such path or method")) {
            int read = socket.getInputStream().read(bytes);
            assertTrue(read > 0, "hung up after: " + answer);
            answer.append(new String(bytes, 0, read, StandardCharsets.ISO_8859_1));
        }
        return Integer.parseInt(answer.substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3));
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
                3,
                List.of("a"),
                Map.of(),
                List.of(),
                1.5,
                8,
                30,
                400,
                100,
                4096,
                12,
                10,
                3,
                sockets,
                80);
    }
}
