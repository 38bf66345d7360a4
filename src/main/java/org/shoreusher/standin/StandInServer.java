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
    /** A request; its body is empty if it has none. */
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

    /** Handles requests, on several threads at once. */
    public interface Handler {
        /** Handles one request; an invalid field is answered with 400. */
        Response handle(Request request)
                throws FieldMap.InvalidFieldException, InterruptedException;
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();

    /** Starts listening on a free port. */
    public StandInServer(Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> answer(handler, exchange));
        server.setExecutor(threads);
        server.start();
    }

    /** The port it listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    private static void answer(Handler handler, HttpExchange exchange) throws IOException {
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
        String text = exchange.getRequestURI().getRawQuery();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return new Request(
                exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
