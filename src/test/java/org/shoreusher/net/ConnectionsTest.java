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
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.shoreusher.core.Effect;
import org.shoreusher.core.WorkerOrder;
import org.shoreusher.worker.WorkerClient;

/** Connections to workers: on loopback, with a stand-in that answers and waits for the other side to hang up. */
class ConnectionsTest {
    /** Kept connections to hundreds of workers took every socket of a node, and users were turned away. */
    @Example
    void directCommandsLeaveNoConnectionOpen() throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            server.setSoTimeout(20_000);
            WorkerClient client = new WorkerClient(group.next());
            group.next().execute(() -> client.send(new Effect.Orders("127.0.0.1:" + server.getLocalPort(), 1, 1,
                    List.of(new WorkerOrder(WorkerOrder.Kind.STOP, "wk-1", 0, 1, 0)))));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(20_000);
                InputStream in = socket.getInputStream();
                assertTrue(in.read(new byte[4_096]) > 0);
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                int read = 0;
                while (read >= 0) {
                    // The rest of the request, then the end: the caller has hung up, though the answer would keep the line.
                    read = in.read(new byte[4_096]);
                }
                assertEquals(-1, read);
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
