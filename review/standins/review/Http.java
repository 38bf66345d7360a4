package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.shoreusher.wire.FieldMap;

/** HTTP/1.1 with CBOR bodies over plain sockets: a client call, and a server with one thread per connection. */
final class Http {
    private Http() {}

    /** A response; status 0 stands for no response in time or a failed connection. */
    record Response(int status, Map<String, Object> body, int retryAfterS) {
        static Response of(int status, Map<String, Object> body) {
            return new Response(status, body, 0);
        }

        boolean ok() {
            return status == 200;
        }
    }

    /** A request that a server has read completely. */
    record Request(String method, String path, Map<String, String> query, byte[] rawBody) {
        Map<String, Object> body() throws IOException {
            return rawBody.length == 0 ? Map.of() : FieldMap.parseCbor(rawBody).asMap();
        }
    }

    /** Handles a request; a null response means that the request is never answered. */
    interface Handler {
        Response handle(Request request) throws Exception;
    }

    static final Response NONE = new Response(0, null, 0);

    /** The connection was refused, so nothing was sent. */
    static final Response REFUSED = new Response(0, null, 0);

    /** One call on a new connection: a GET if the body is null, else a POST. */
    static Response call(int port, String path, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            long endNs = System.nanoTime() + timeoutMs * 1_000_000L;
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), Math.min(timeoutMs, 500));
            return exchange(socket, path, body, endNs);
        } catch (ConnectException e) {
            return REFUSED;
        } catch (IOException e) {
            return NONE;
        }
    }

    static Response call(int port, String path, Map<String, Object> body, int timeoutMs) {
        return call(port, path, body == null ? null : FieldMap.toCbor(body), timeoutMs);
    }

    /** Sends a request on an open connection, and waits for the response. */
    static Response exchange(Socket socket, String path, byte[] body, long endNs) throws IOException {
        send(socket, path, body);
        return receive(socket, endNs);
    }

    static void send(Socket socket, String path, byte[] body) throws IOException {
        socket.setTcpNoDelay(true);
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        String head = (body == null ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                + (body == null ? "" : "Content-Type: application/cbor\r\nContent-Length: " + body.length + "\r\n")
                + "\r\n";
        request.write(head.getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            request.write(body);
        }
        socket.getOutputStream().write(request.toByteArray());
        socket.getOutputStream().flush();
    }

    static Response receive(Socket socket, long endNs) throws IOException {
        InputStream in = new BufferedInputStream(new InputStream() {
            @Override
            public int read() throws IOException {
                byte[] one = new byte[1];
                return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
            }

            @Override
            public int read(byte[] bytes, int from, int length) throws IOException {
                long remainingMs = (endNs - System.nanoTime()) / 1_000_000;
                if (remainingMs <= 0) {
                    throw new IOException("no response in time");
                }
                socket.setSoTimeout((int) remainingMs);
                return socket.getInputStream().read(bytes, from, length);
            }
        });
        String statusLine = line(in);
        Map<String, String> headers = headers(in);
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        Map<String, Object> fields = body.length == 0 ? Map.of() : FieldMap.parseCbor(body).asMap();
        return new Response(Integer.parseInt(statusLine.split(" ")[1]), fields,
                Integer.parseInt(headers.getOrDefault("retry-after", "0")));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    /** A server on a free port of loopback. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
            daemon(this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    String[] requestLine = line(in).split(" ");
                    Map<String, String> headers = headers(in);
                    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                    Response response = handler.handle(request(requestLine, body));
                    if (response == null) {
                        // Never answered; the connection stays open until the other side closes it.
                        while (in.read() >= 0) {
                            // discards whatever still arrives
                        }
                        return;
                    }
                    byte[] encoded = FieldMap.toCbor(response.body());
                    String head = "HTTP/1.1 " + response.status() + " x\r\nContent-Type: application/cbor\r\n"
                            + "Content-Length: " + encoded.length + "\r\n\r\n";
                    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                    bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
                    bytes.write(encoded);
                    out.write(bytes.toByteArray());
                    out.flush();
                }
            } catch (EOFException e) {
                // closed by the other side
            } catch (Exception e) {
                if (!(e instanceof IOException)) {
                    e.printStackTrace();
                }
            }
        }

        private static Request request(String[] requestLine, byte[] body) {
            String[] uri = requestLine[1].split("\\?", 2);
            Map<String, String> query = new LinkedHashMap<>();
            for (String pair : uri.length < 2 ? new String[0] : uri[1].split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            return new Request(requestLine[0], uri[0], query, body);
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * A free port for a process that is started later. It is outside the range from which the system takes the ports of
     * outgoing connections, so that nothing else gets it in the meantime.
     */
    static int freePort() throws IOException {
        for (int tries = 0; tries < 1_000; tries++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 0, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // in use
            }
        }
        throw new IOException("no free port");
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> maps(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }
}
