import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;

/** A TCP proxy on loopback that passes, holds or resets what it carries. */
final class Proxy {
    /** What the proxy does. */
    enum Mode {
        PASS,
        /** Keeps the bytes and delivers them when it passes again; new connections get no data. */
        HOLD,
        /** Closes connections and refuses new ones. */
        RESET
    }

    final int port;
    private final int target;
    private Mode mode = Mode.PASS;
    private long generation;

    Proxy(int target) throws Exception {
        this.target = target;
        ServerSocket server = new ServerSocket(0, 500, Http.LOOPBACK);
        port = server.getLocalPort();
        Http.daemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        if (mode() == Mode.RESET) {
                            reset(socket);
                        } else {
                            Http.daemon(() -> carry(socket));
                        }
                    }
                });
    }

    private synchronized Mode mode() {
        return mode;
    }

    synchronized void set(Mode newMode) {
        mode = newMode;
        generation += newMode == Mode.RESET ? 1 : 0;
        notifyAll();
    }

    private static void reset(Socket socket) throws Exception {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void carry(Socket client) throws Exception {
        long started;
        synchronized (this) {
            while (mode == Mode.HOLD) {
                wait();
            }
            started = generation;
        }
        Socket server;
        try {
            server = new Socket(Http.LOOPBACK, target);
        } catch (java.io.IOException refused) {
            reset(client);
            return;
        }
        client.setTcpNoDelay(true);
        server.setTcpNoDelay(true);
        Http.daemon(() -> pump(client, server, started));
        Http.daemon(() -> pump(server, client, started));
        Http.daemon(
                () -> {
                    synchronized (this) {
                        while (generation == started && !client.isClosed()) {
                            wait(1_000);
                        }
                    }
                    reset(client);
                    reset(server);
                });
    }

    private void pump(Socket from, Socket to, long started) {
        byte[] bytes = new byte[65_536];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                synchronized (this) {
                    while (mode == Mode.HOLD) {
                        wait();
                    }
                    if (generation != started) {
                        return;
                    }
                }
                out.write(bytes, 0, count);
                out.flush();
            }
        } catch (Exception e) {
            // One side has closed its connection.
        }
    }
}
