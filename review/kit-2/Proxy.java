import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on loopback that holds what it is given, or resets its connections. */
final class Proxy {
    private final ServerSocket socket;
    private final int target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    /** While true, nothing passes; what has arrived is delivered in order afterwards. */
    volatile boolean hold;
    /** While true, new connections are refused (closed at once). */
    volatile boolean refuse;

    Proxy(int target) throws IOException {
        this.target = target;
        socket = new ServerSocket();
        socket.bind(new InetSocketAddress(Http.LOOPBACK, 0), 512);
        Http.daemon("proxy", this::accept);
    }

    int port() {
        return socket.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket s = socket.accept();
                if (refuse) {
                    s.setSoLinger(true, 0);
                    s.close();
                    continue;
                }
                s.setTcpNoDelay(true);
                Http.daemon("proxy-connection", () -> connect(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket s) {
        // A connection attempt does not complete during the interruption.
        while (hold) {
            World.sleep(10);
        }
        try {
            Socket t = new Socket();
            t.setTcpNoDelay(true);
            t.connect(new InetSocketAddress(Http.LOOPBACK, target), 1000);
            open.add(s);
            open.add(t);
            Http.daemon("proxy-up", () -> copy(s, t));
            copy(t, s);
        } catch (IOException e) {
            Http.closeQuietly(s);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                while (hold) {
                    World.sleep(5);
                }
                out.write(buffer, 0, n);
                out.flush();
            }
            while (hold) {
                World.sleep(5);
            }
        } catch (IOException e) {
            // One side is gone.
        } finally {
            Http.closeQuietly(from);
            Http.closeQuietly(to);
            open.remove(from);
            open.remove(to);
        }
    }

    /** Resets all connections. */
    void reset() {
        for (Socket s : open) {
            try {
                s.setSoLinger(true, 0);
            } catch (IOException e) {
                // already closed
            }
            Http.closeQuietly(s);
        }
    }
}
