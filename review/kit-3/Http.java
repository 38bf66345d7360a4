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
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.shoreusher.wire.FieldMap;

/** HTTP/1.1 with CBOR bodies on loopback: a server with a thread per connection, and a client. */
final class Http {
    /** A loopback address that other runs at the same time do not use, if there is one. */
    static final InetAddress LOOPBACK = loopback();

    static final String HOST = LOOPBACK.getHostAddress();

    private static InetAddress loopback() {
        long pid = ProcessHandle.current().pid();
        byte[] address = {127, (byte) (1 + (pid >> 14 & 63)), (byte) (pid >> 7 & 127), (byte) (1 + (pid & 127))};
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByAddress(address))) {
            return InetAddress.getByAddress(address);
        } catch (IOException e) {
            return InetAddress.getLoopbackAddress();
        }
    }

    /** A request. */
    record Request(String method, String path, Map<String, String> query, Map<String, Object> body) {}

    /** An answer; status 0 means that the connection is closed without one. */
    record Answer(int status, Map<String, Object> body) {
        static final Answer NONE = new Answer(0, null);

        String text(String field) {
            return body == null ? null : (String) body.get(field);
        }
    }

    /** Handles requests. */
    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    private Http() {}

    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts a server on a free port and returns the port. */
    static int serve(Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 1000, LOOPBACK);
        daemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        socket.setTcpNoDelay(true);
                        daemon(() -> connection(socket, handler));
                    }
                });
        return server.getLocalPort();
    }

    /** An action that may fail. */
    interface Action {
        void run() throws Exception;
    }

    static Thread daemon(Action action) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                action.run();
                            } catch (Exception e) {
                                // The connection or the stand-in has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void connection(Socket socket, Handler handler) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String[] head = line(in).split(" ");
                byte[] bytes = body(in, null);
                int mark = head[1].indexOf('?');
                Map<String, String> query = new HashMap<>();
                if (mark >= 0) {
                    for (String pair : head[1].substring(mark + 1).split("&")) {
                        int equals = pair.indexOf('=');
                        query.put(pair.substring(0, equals), pair.substring(equals + 1));
                    }
                }
                Answer answer =
                        handler.handle(
                                new Request(
                                        head[0],
                                        mark < 0 ? head[1] : head[1].substring(0, mark),
                                        query,
                                        bytes.length == 0
                                                ? Map.of()
                                                : FieldMap.parseCbor(bytes).asMap()));
                if (answer.status() == 0) {
                    return;
                }
                write(
                        socket.getOutputStream(),
                        "HTTP/1.1 " + answer.status() + " X",
                        FieldMap.toCbor(answer.body()));
            }
        }
    }

    private static void write(OutputStream out, String first, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(
                (first + "\r\nhost: x\r\ncontent-type: application/cbor\r\ncontent-length: "
                                + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
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

    private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        int length = 0;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            String name = header.substring(0, colon).toLowerCase(Locale.ROOT);
            if (headers != null) {
                headers.put(name, header.substring(colon + 1).trim());
            }
            if (name.equals("content-length")) {
                length = Integer.parseInt(header.substring(colon + 1).trim());
            }
        }
        return in.readNBytes(length);
    }

    /** A client with one connection to one port; not thread-safe. */
    static final class Client {
        private final int port;
        private Socket socket;

        Client(int port) {
            this.port = port;
        }

        void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // It is closed all the same.
            }
            socket = null;
        }

        /** Sends a GET if the body is null, else a POST; status 0 if there is no answer in time. */
        Answer call(String path, Map<String, Object> body, int timeoutMs) {
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(new InetSocketAddress(LOOPBACK, port), 500);
                }
                socket.setSoTimeout(timeoutMs);
                write(
                        socket.getOutputStream(),
                        (body == null ? "GET " : "POST ") + path + " HTTP/1.1",
                        body == null ? new byte[0] : FieldMap.toCbor(body));
                InputStream in = socket.getInputStream();
                int status = Integer.parseInt(line(in).split(" ")[1]);
                Map<String, String> headers = new HashMap<>();
                byte[] bytes = body(in, headers);
                if ("close".equalsIgnoreCase(headers.get("connection"))) {
                    close();
                }
                return new Answer(
                        status, bytes.length == 0 ? Map.of() : FieldMap.parseCbor(bytes).asMap());
            } catch (IOException e) {
                close();
                return Answer.NONE;
            }
        }
    }
}
