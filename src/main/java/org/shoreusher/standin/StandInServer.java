package org.shoreusher.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.shoreusher.wire.FieldMap;

/** HTTP server of a stand-in on loopback, with a thread for each request. */
public final class StandInServer implements AutoCloseable {
    /** A request; the body is an empty map if the request has none. */
    public record Request(String method, String path, Map<String, String> query, FieldMap body) {
        /** Method and path, such as "POST /multi". */
        String requestLine() {
            return method + " " + path;
        }
    }

    /** A response; its body is sent as CBOR. */
    public record Response(int status, Map<String, Object> body) {
        /** A response with status 200. */
        static Response ok(Map<String, Object> body) {
            return new Response(200, body);
        }
    }

    /** Handles requests; called by several threads concurrently. */
    public interface Handler {
        /**
         * Handles one request.
         *
         * @throws FieldMap.InvalidFieldException if a field is invalid; the server sends status 400
         * @throws InterruptedException if the server is closing; it sends status 503
         */
        Response handle(Request request)
                throws FieldMap.InvalidFieldException, InterruptedException;
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();

    /**
     * Starts listening on a free port.
     *
     * @throws IOException if the server cannot listen
     */
    public StandInServer(Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> respond(handler, exchange));
        server.setExecutor(threads);
        server.start();
    }

    /** The port on which the server listens. */
    public int port() {
        return server.getAddress().getPort();
    }

    private static void respond(Handler handler, HttpExchange exchange) throws IOException {
        Response response;
        try {
            response = handler.handle(request(exchange));
        } catch (FieldMap.InvalidFieldException e) {
            response = new Response(400, Map.of("error", e.getMessage()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            response = new Response(503, Map.of());
        }
        byte[] body = FieldMap.toCbor(response.body());
        exchange.sendResponseHeaders(response.status(), body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static Request request(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        FieldMap body = bytes.length == 0 ? new FieldMap(Map.of()) : FieldMap.parseCbor(bytes);
        Map<String, String> query = new HashMap<>();
        String rawQuery = exchange.getRequestURI().getRawQuery();
        for (String pair : rawQuery == null ? new String[0] : rawQuery.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return new Request(
                exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
    }

    @Override
    public void close() {
        server.stop(/* delayS= */ 0);
        threads.shutdownNow();
    }
}
