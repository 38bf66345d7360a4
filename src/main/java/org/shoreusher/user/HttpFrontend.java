package org.shoreusher.user;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MessageConstants;
import org.shoreusher.core.message.Response;
import org.shoreusher.core.message.WorkerHeartbeat;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.net.NetConstants;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SharedConstants;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.ResponseFormat;
import org.shoreusher.wire.UserFormat;
import org.shoreusher.wire.WorkerFormat;

/**
 * The node's HTTP server for users, workers and the load balancer's readiness checks. Decodes
 * requests into commands for the core and encodes its responses. Sheds load when the node lags.
 */
public final class HttpFrontend {
    private static final String JOBS = "/v2/runs";
    private static final String HELLO = "/hello";
    private static final String CANCEL = "/cancel";

    /** A request to which the core has not responded yet; {@code sinceNs}: when it arrived. */
    private record PendingRequest(
            ChannelHandlerContext channel, boolean keepAlive, long sinceNs, boolean user) {}

    private final EventLoopGroup loop;
    private final Settings settings;
    private final Predicate<Command> core;
    private final LongSupplier lagMs;
    private final Long2ObjectOpenHashMap<PendingRequest> waiting = new Long2ObjectOpenHashMap<>();
    private final Histogram userLatency =
            new Histogram(TimeUnit.SECONDS.toMicros(SharedConstants.LATENCY_LOG_INTERVAL_S), 2);
    private long nextRequest = 1;

    /** Open connections, ordered by their last request, least recent first. */
    private final ObjectLinkedOpenHashSet<Channel> connections = new ObjectLinkedOpenHashSet<>();

    /**
     * s; idle timeout of a worker's connection. A worker without a heartbeat for this long uses
     * another connection by now, or is gone.
     */
    private final int workerIdleS;

    /**
     * A server that is not listening yet.
     *
     * @param core accepts a command, or returns false if its queue is full
     * @param lagMs how far this node lags behind its work, in ms
     */
    public HttpFrontend(
            EventLoopGroup loop, Settings settings, Predicate<Command> core, LongSupplier lagMs) {
        this.lagMs = lagMs;
        this.loop = loop;
        this.settings = settings;
        this.core = core;
        workerIdleS =
                (int)
                        Math.ceil(
                                Math.max(
                                        FrontendConstants.MIN_IDLE_WORKER_TIMEOUT_S,
                                        FrontendConstants.IDLE_WORKER_HEARTBEAT_INTERVALS
                                                * settings.heartbeatIntervalS()));
    }

    /** Binds to the front address and accepts connections. */
    public void listen() throws InterruptedException {
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
                                ConnectionTimeouts pace = new ConnectionTimeouts();
                                channel.pipeline()
                                        .addLast(
                                                pace,
                                                new HttpServerCodec(),
                                                new BodyAggregator(),
                                                new RequestHandler(pace));
                            }
                        })
                .bind(settings.frontAddress().ip(), settings.frontAddress().port())
                .sync();
    }

    /** Sends the core's response, unless the connection has been closed meanwhile. */
    public void respond(Effect.Respond answer) {
        PendingRequest pendingRequest = waiting.remove(answer.requestId());
        if (pendingRequest == null) {
            return;
        }
        if (pendingRequest.user) {
            userLatency.recordValue(
                    Math.min(
                            userLatency.getHighestTrackableValue(),
                            TimeUnit.NANOSECONDS.toMicros(
                                    System.nanoTime() - pendingRequest.sinceNs)));
        }
        Response response = answer.response();
        send(
                pendingRequest.channel,
                pendingRequest.keepAlive,
                ResponseFormat.statusCode(response),
                ResponseFormat.body(response),
                ResponseFormat.retryAfterS(response));
    }

    /** A line on the latencies of user requests since the last call, which are then reset. */
    public LogEvent drainLatencySummary() {
        LogEvent event =
                LogEvent.of(LogEventType.REQUEST_LATENCY)
                        .with("answers", userLatency.getTotalCount())
                        .with("median_ms", userLatency.getValueAtPercentile(50) / 1000.0)
                        .with("p99_ms", userLatency.getValueAtPercentile(99) / 1000.0)
                        .with("max_ms", userLatency.getMaxValue() / 1000.0)
                        .with("connections", connections.size());
        userLatency.reset();
        return event;
    }

    /** Number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    private static void send(
            ChannelHandlerContext ctx,
            boolean keepAlive,
            int status,
            Map<String, Object> body,
            int retryAfterS) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(FieldMap.toCbor(body)));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/cbor");
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (retryAfterS > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterS);
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ctx.writeAndFlush(response)
                .addListener(
                        keepAlive
                                ? ChannelFutureListener.CLOSE_ON_FAILURE
                                : ChannelFutureListener.CLOSE);
        ctx.channel().config().setAutoRead(true);
    }

    /**
     * Aggregates a request and its body. A body above the limit is answered with 400 before it has
     * arrived completely.
     */
    private static final class BodyAggregator extends HttpObjectAggregator {
        BodyAggregator() {
            super(FrontendConstants.MAX_REQUEST_BODY_BYTES);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            send(
                    ctx,
                    false,
                    400,
                    ResponseFormat.errorBody(
                            "the body is longer than "
                                    + FrontendConstants.MAX_REQUEST_BODY_BYTES
                                    + " bytes"),
                    0);
        }
    }

    /** Closes connections that are idle, or whose request does not arrive in time. */
    private final class ConnectionTimeouts extends ChannelInboundHandlerAdapter {
        private ScheduledFuture<?> timeout;
        private boolean inRequest;

        void restart(ChannelHandlerContext ctx, int seconds) {
            if (timeout != null) {
                timeout.cancel(false);
            }
            timeout = ctx.executor().schedule(() -> ctx.close(), seconds, TimeUnit.SECONDS);
        }

        /** Restarts the idle timeout after a request has arrived completely. */
        void onRequestComplete(ChannelHandlerContext ctx, boolean worker) {
            inRequest = false;
            connections.addAndMoveToLast(ctx.channel());
            restart(ctx, worker ? workerIdleS : NetConstants.IDLE_CONNECTION_TIMEOUT_S);
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            // When all sockets are in use, the least recently used connection is closed. After a
            // network partition, up to half of the machines leave connections behind that still
            // look open; rejecting new ones would lock out all reachable clients.
            if (connections.size() >= settings.maxSockets() - SharedConstants.RESERVED_SOCKETS) {
                connections.removeFirst().close();
            }
            connections.addAndMoveToLast(ctx.channel());
            restart(ctx, NetConstants.IDLE_CONNECTION_TIMEOUT_S);
            ctx.fireChannelActive();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (!inRequest) {
                inRequest = true;
                restart(ctx, FrontendConstants.REQUEST_READ_TIMEOUT_S);
            }
            ctx.fireChannelRead(bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            if (timeout != null) {
                timeout.cancel(false);
            }
            ctx.fireChannelInactive();
        }
    }

    /** Decodes requests into commands. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final ConnectionTimeouts timeouts;
        private long current;

        RequestHandler(ConnectionTimeouts timeouts) {
            this.timeouts = timeouts;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest http) {
            boolean keepAlive = HttpUtil.isKeepAlive(http);
            if (!http.decoderResult().isSuccess()) {
                timeouts.onRequestComplete(ctx, false);
                send(ctx, false, 400, ResponseFormat.errorBody("malformed HTTP"), 0);
                return;
            }
            String path = http.uri();
            boolean user = path.startsWith(JOBS);
            current = nextRequest++;
            timeouts.onRequestComplete(ctx, path.equals(HELLO));
            // Load shedding: workers are served first, since their leases would expire, then
            // submissions and cancellations, then polls.
            if (user
                    && lagMs.getAsLong()
                            > (http.method().equals(HttpMethod.GET)
                                    ? FrontendConstants.SHED_POLLS_LAG_MS
                                    : FrontendConstants.SHED_WRITES_LAG_MS)) {
                send(ctx, keepAlive, 503, Map.of(), MessageConstants.retryAfterS(current));
                return;
            }
            Command command = command(ctx, keepAlive, http, path);
            if (command == null) {
                return;
            }
            waiting.put(current, new PendingRequest(ctx, keepAlive, System.nanoTime(), user));
            // One request at a time: reading resumes with the response.
            ctx.channel().config().setAutoRead(false);
            if (!core.test(command)) {
                waiting.remove(current);
                send(ctx, keepAlive, 503, Map.of(), MessageConstants.retryAfterS(current));
            }
        }

        private Command command(
                ChannelHandlerContext ctx, boolean keepAlive, FullHttpRequest http, String path) {
            boolean post = http.method().equals(HttpMethod.POST);
            boolean get = http.method().equals(HttpMethod.GET);
            if (post && path.equals(HELLO)) {
                try {
                    WorkerHeartbeat report =
                            WorkerFormat.readHeartbeat(FieldMap.parseCbor(bytes(http.content())));
                    return new Command.Heartbeat(current, report);
                } catch (IOException | FieldMap.InvalidFieldException e) {
                    send(
                            ctx,
                            keepAlive,
                            400,
                            ResponseFormat.errorBody(String.valueOf(e.getMessage())),
                            0);
                    return null;
                }
            }
            if (post && path.equals(JOBS)) {
                return submission(bytes(http.content()));
            }
            if (get && path.startsWith(JOBS + "/")) {
                return new Command.Poll(current, path.substring(JOBS.length() + 1));
            }
            if (post && path.startsWith(JOBS + "/") && path.endsWith(CANCEL)) {
                return new Command.Cancel(
                        current,
                        path.substring(JOBS.length() + 1, path.length() - CANCEL.length()));
            }
            if (get && path.equals("/ready")) {
                return new Command.ReadinessCheck(current);
            }
            send(
                    ctx,
                    keepAlive,
                    path.equals(JOBS) || path.equals(HELLO) || path.equals("/ready") ? 405 : 404,
                    ResponseFormat.errorBody("no such path or method"),
                    0);
            return null;
        }

        private Command submission(byte[] body) {
            String id = null;
            try {
                FieldMap fields = FieldMap.parseCbor(body);
                id = fields.textOr("name_id", null);
                JobSpec spec = UserFormat.readSubmission(fields);
                return new Command.Submit(current, id, spec, null);
            } catch (IOException e) {
                return new Command.Submit(current, null, null, "the body is not one CBOR map");
            } catch (FieldMap.InvalidFieldException e) {
                return new Command.Submit(current, id, null, e.getMessage());
            }
        }

        private byte[] bytes(ByteBuf buffer) {
            return ByteBufUtil.getBytes(buffer);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            waiting.remove(current);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
