import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client for loopback; bodies are CBOR. */
final class Http {
    private Http() {}

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    record Request(
            String method, String path, Map<String, String> query, Map<String, Object> body) {}

    /** A reply; status 0 closes the connection without a reply. */
    record Reply(int status, Map<String, Object> body, Map<String, String> headers) {
        Reply(int status, Map<String, Object> body) {
            this(status, body, Map.of());
        }

        static final Reply NONE = new Reply(0, Map.of());
    }

    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    static final class Server {
        private final ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean closed;

        Server(Handler handler) throws IOException {
            this(handler, 0);
        }

        Server(Handler handler, int port) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(LOOPBACK, port), 512);
            daemon("server", this::accept);
        }

        int port() {
            return socket.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket s = socket.accept();
                    s.setTcpNoDelay(true);
                    open.add(s);
                    daemon("connection", () -> serve(s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket s) {
            try (s) {
                InputStream in = new BufferedInputStream(s.getInputStream());
                OutputStream out = s.getOutputStream();
                while (!closed) {
                    Message m = readMessage(in);
                    if (m == null) {
                        return;
                    }
                    String[] line = m.startLine.split(" ");
                    String target = line[1];
                    Map<String, String> query = new LinkedHashMap<>();
                    int q = target.indexOf('?');
                    if (q >= 0) {
                        for (String pair : target.substring(q + 1).split("&")) {
                            int eq = pair.indexOf('=');
                            if (eq >= 0) {
                                query.put(pair.substring(0, eq), pair.substring(eq + 1));
                            }
                        }
                        target = target.substring(0, q);
                    }
                    Reply reply;
                    try {
                        reply =
                                handler.handle(
                                        new Request(
                                                line[0], target, query, Cbor.decodeMap(m.body)));
                    } catch (RuntimeException e) {
                        reply = new Reply(400, Map.of("error", String.valueOf(e)));
                    }
                    if (reply.status() == 0) {
                        return;
                    }
                    byte[] body = Cbor.encode(reply.body());
                    StringBuilder head =
                            new StringBuilder("HTTP/1.1 " + reply.status() + " X\r\n");
                    head.append("Content-Type: application/cbor\r\nContent-Length: ")
                            .append(body.length)
                            .append("\r\n");
                    reply.headers().forEach((k, v) -> head.append(k + ": " + v + "\r\n"));
                    head.append("\r\n");
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    all.writeBytes(head.toString().getBytes(StandardCharsets.US_ASCII));
                    all.writeBytes(body);
                    out.write(all.toByteArray());
                    out.flush();
                }
            } catch (Exception e) {
                // The peer is gone.
            } finally {
                open.remove(s);
            }
        }

        void close() {
            closed = true;
            closeQuietly(socket);
            open.forEach(Http::closeQuietly);
        }
    }

    private record Message(String startLine, Map<String, String> headers, byte[] body) {}

    private static Message readMessage(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        return new Message(start, headers, body);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return line.length() == 0 ? null : line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** A response; status 0 if there was none. */
    record Response(int status, Map<String, Object> body, int retryAfterS) {
        static final Response NONE = new Response(0, Map.of(), 0);

        String text(String field) {
            return body.get(field) instanceof String s ? s : null;
        }
    }

    /** A persistent connection to one address, for one caller at a time. */
    static final class Client {
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(int port) {
            this.port = port;
        }

        Response call(String method, String path, Map<String, Object> body, int timeoutMs) {
            long endNs = System.nanoTime() + timeoutMs * 1_000_000L;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMs);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                byte[] bytes = body == null ? new byte[0] : Cbor.encode(body);
                String head =
                        method
                                + " "
                                + path
                                + " HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                                + (body == null
                                        ? "\r\n"
                                        : "Content-Type: application/cbor\r\nContent-Length: "
                                                + bytes.length
                                                + "\r\n\r\n");
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
                all.writeBytes(bytes);
                socket.getOutputStream().write(all.toByteArray());
                socket.setSoTimeout((int) Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
                Message m = readMessage(in);
                if (m == null) {
                    close();
                    return Response.NONE;
                }
                int status = Integer.parseInt(m.startLine.split(" ")[1]);
                if ("close".equalsIgnoreCase(m.headers.get("connection"))) {
                    close();
                }
                return new Response(
                        status,
                        Cbor.decodeMap(m.body),
                        Integer.parseInt(m.headers.getOrDefault("retry-after", "0")));
            } catch (IOException | RuntimeException e) {
                close();
                return Response.NONE;
            }
        }

        void close() {
            closeQuietly(socket);
            socket = null;
        }
    }

    static Response once(int port, String method, String path, Map<String, Object> body, int ms) {
        Client c = new Client(port);
        Response r = c.call(method, path, body, ms);
        c.close();
        return r;
    }

    private static final java.util.Random PORTS = new java.util.Random();

    /** A free port below those that the system gives to outgoing connections. */
    static synchronized int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = 12_000 + PORTS.nextInt(18_000);
            try (ServerSocket s = new ServerSocket(port, 1, LOOPBACK)) {
                return s.getLocalPort();
            } catch (IOException e) {
                // in use
            }
        }
        throw new IOException("no free port");
    }

    static void closeQuietly(AutoCloseable c) {
        try {
            if (c != null) {
                c.close();
            }
        } catch (Exception e) {
            // already closed
        }
    }

    static Thread daemon(String name, Runnable action) {
        Thread t = new Thread(null, action, name, 256 * 1024);
        t.setDaemon(true);
        t.start();
        return t;
    }
}
