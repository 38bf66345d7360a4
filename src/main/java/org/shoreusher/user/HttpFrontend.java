package org.shoreusher.user;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.MessageConstants;
import org.shoreusher.core.message.Response;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SharedConstants;
import org.shoreusher.wire.ResponseFormat;

/**
 * The HTTP server of a node for users, workers and the load balancer's readiness checks. Passes
 * requests to the core as commands, and writes the core's responses. Not thread-safe: all methods
 * except {@link #listen} must run on the event loop.
 */
public final class HttpFrontend {
    private static final int LATENCY_SIGNIFICANT_DIGITS = 2;
    private static final double US_PER_MS = 1_000;

    private final EventLoopGroup loop;
    private final Settings settings;
    private final Predicate<Command> core;
    private final LongSupplier eventLoopDelayMs;
    private final OpenConnections connections;
    private final Long2ObjectOpenHashMap<PendingRequest> pendingRequests =
            new Long2ObjectOpenHashMap<>();
    private final Histogram userLatencyUs =
            new Histogram(
                    TimeUnit.SECONDS.toMicros(SharedConstants.LATENCY_LOG_INTERVAL_S),
                    LATENCY_SIGNIFICANT_DIGITS);
    private long lastRequestId;

    /**
     * Creates a server that does not listen yet.
     *
     * @param core accepts a command, or returns false if its queue is full
     * @param eventLoopDelayMs returns the current delay of the event loop in ms
     */
    public HttpFrontend(
            EventLoopGroup loop,
            Settings settings,
            Predicate<Command> core,
            LongSupplier eventLoopDelayMs) {
        this.eventLoopDelayMs = eventLoopDelayMs;
        this.loop = loop;
        this.settings = settings;
        this.core = core;
        connections = new OpenConnections(settings.maxSockets() - SharedConstants.RESERVED_SOCKETS);
    }

    /**
     * Binds to the front address of the settings and accepts connections.
     *
     * @throws InterruptedException if the thread is interrupted while it waits for the binding
     */
    public void listen() throws InterruptedException {
        int workerIdleTimeoutS = ConnectionTimeouts.workerIdleTimeoutS(settings);
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, settings.maxSockets())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                ConnectionTimeouts timeouts =
                                        new ConnectionTimeouts(connections, workerIdleTimeoutS);
                                channel.pipeline()
                                        .addLast(
                                                timeouts,
                                                new HttpServerCodec(),
                                                new BodyAggregator(),
                                                new RequestHandler(HttpFrontend.this, timeouts));
                            }
                        })
                .bind(settings.frontAddress().ip(), settings.frontAddress().port())
                .sync();
    }

    /**
     * Writes the core's response; does nothing if the connection has been closed. If the response
     * cannot be encoded, the request stays pending.
     */
    public void respond(Effect.Respond effect) {
        PendingRequest request = pendingRequests.get(effect.requestId());
        if (request == null) {
            return;
        }
        Response response = effect.response();
        ResponseWriter.write(
                request.context(),
                request.keepAlive(),
                HttpResponseStatus.valueOf(ResponseFormat.statusCode(response)),
                ResponseFormat.body(response),
                ResponseFormat.retryAfterS(response));
        pendingRequests.remove(effect.requestId());
        if (request.fromUser()) {
            recordLatency(request);
        }
    }

    /** Responds with status 500 to a request that failed; does nothing if it is not pending. */
    public void respondInternalError(long requestId) {
        PendingRequest request = pendingRequests.remove(requestId);
        if (request != null) {
            ResponseWriter.writeError(
                    request.context(),
                    request.keepAlive(),
                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    "the request failed because of an internal error");
        }
    }

    private void recordLatency(PendingRequest request) {
        long latencyUs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - request.receivedAtNs());
        // The histogram rejects values above its highest trackable value.
        userLatencyUs.recordValue(Math.min(userLatencyUs.getHighestTrackableValue(), latencyUs));
    }

    /** Returns the latencies of user requests since the last call and resets them. */
    public LogEvent drainLatencySummary() {
        LogEvent event =
                LogEvent.of(LogEventType.REQUEST_LATENCY)
                        .with("answers", userLatencyUs.getTotalCount())
                        .with("median_ms", userLatencyUs.getValueAtPercentile(50) / US_PER_MS)
                        .with("p99_ms", userLatencyUs.getValueAtPercentile(99) / US_PER_MS)
                        .with("max_ms", userLatencyUs.getMaxValue() / US_PER_MS)
                        .with("connections", connections.count());
        userLatencyUs.reset();
        return event;
    }

    /** Number of open connections. */
    public int connectionCount() {
        return connections.count();
    }

    /** The current delay of the event loop in ms. */
    long eventLoopDelayMs() {
        return eventLoopDelayMs.getAsLong();
    }

    /** Returns a new id, by which the core's response is matched to its request. */
    long nextRequestId() {
        return ++lastRequestId;
    }

    /** Passes a request to the core, or rejects it if the core's queue is full. */
    void submit(long requestId, Command command, PendingRequest request) {
        pendingRequests.put(requestId, request);
        // One request at a time: reading resumes when the response is written.
        request.context().channel().config().setAutoRead(false);
        if (!core.test(command)) {
            pendingRequests.remove(requestId);
            ResponseWriter.writeUnavailable(
                    request.context(),
                    request.keepAlive(),
                    MessageConstants.retryAfterS(requestId));
        }
    }

    /** Discards a request whose connection has been closed. */
    void discard(long requestId) {
        pendingRequests.remove(requestId);
    }
}
