package org.shoreusher.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.shoreusher.core.message.ReplyStatus;
import org.shoreusher.log.EventLogger;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings.Address;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.MessageEncodingException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP client for one target, with a pool of persistent connections and one request at a time on
 * each. Every call completes exactly once: with the response, or with {@link ReplyStatus#NO_REPLY}
 * after a failure or timeout, which also closes the connection, or if its body cannot be encoded.
 * Not thread-safe: all methods must run on the event loop.
 */
public final class HttpCaller {
    /** Receives the result of a call. */
    public interface ResponseHandler {
        /**
         * Called exactly once for each call.
         *
         * @param status the HTTP status, or {@link ReplyStatus#NO_REPLY}
         * @param body the decoded body, which is empty if a response with status 200 has none; null
         *     if there is no valid body
         */
        void onResponse(int status, Map<String, Object> body);
    }

    private static final Logger LOG = LoggerFactory.getLogger("shoreusher");

    private final Address target;
    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final int maxIdleConnections;
    private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
    private int callsInFlight;

    /** Creates a client that keeps the default number of idle connections. */
    public HttpCaller(EventLoop loop, Address target) {
        this(loop, target, NetConstants.MAX_IDLE_CONNECTIONS_PER_TARGET);
    }

    /**
     * Creates a client.
     *
     * @param maxIdleConnections maximum number of idle connections to keep
     */
    public HttpCaller(EventLoop loop, Address target, int maxIdleConnections) {
        this.maxIdleConnections = maxIdleConnections;
        this.target = target;
        this.loop = loop;
        bootstrap =
                ClientBootstrap.create(
                        loop,
                        channel ->
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(
                                                        NetConstants.MAX_RESPONSE_BODY_BYTES),
                                                new Connection(channel)));
    }

    /**
     * Sends a request: a GET if the body is null, else a POST. The call completes without being
     * sent, with {@link ReplyStatus#NO_REPLY}, if too many calls are in flight or the body cannot
     * be encoded.
     *
     * @param path path and query
     * @param body the body, to be encoded as CBOR
     * @param timeoutMs time for the response once a connection is open, in ms
     */
    public void call(
            String path, Map<String, Object> body, long timeoutMs, ResponseHandler handler) {
        if (callsInFlight >= NetConstants.MAX_CALLS_PER_TARGET) {
            completeUnsent(handler);
            return;
        }
        FullHttpRequest request;
        try {
            request = newRequest(path, body);
        } catch (MessageEncodingException e) {
            EventLogger.log(
                    LOG,
                    LogEvent.of(LogEventType.INTERNAL_ERROR)
                            .with("during", "encode_request")
                            .with("problem", e.getMessage()));
            completeUnsent(handler);
            return;
        }
        callsInFlight++;
        PendingCall call = new PendingCall(handler);
        Connection connection = takeIdleConnection();
        if (connection != null) {
            connection.send(call, request, timeoutMs);
        } else {
            connectAndSend(call, request, timeoutMs);
        }
    }

    /** Completes a call later, so that the handler never runs within the call itself. */
    private void completeUnsent(ResponseHandler handler) {
        loop.execute(() -> handler.onResponse(ReplyStatus.NO_REPLY, null));
    }

    private FullHttpRequest newRequest(String path, Map<String, Object> body) {
        FullHttpRequest request =
                body == null
                        ? new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path)
                        : new DefaultFullHttpRequest(
                                HttpVersion.HTTP_1_1,
                                HttpMethod.POST,
                                path,
                                Unpooled.wrappedBuffer(FieldMap.toCbor(body)));
        request.headers().set(HttpHeaderNames.HOST, target.toString());
        if (body != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/cbor");
            HttpUtil.setContentLength(request, request.content().readableBytes());
        }
        return request;
    }

    /** The most recently used idle connection that is still open; null if there is none. */
    private Connection takeIdleConnection() {
        Connection connection = idleConnections.pollLast();
        while (connection != null && !connection.channel.isActive()) {
            connection = idleConnections.pollLast();
        }
        return connection;
    }

    private void connectAndSend(PendingCall call, FullHttpRequest request, long timeoutMs) {
        ChannelFuture connect = bootstrap.connect(target.ip(), target.port());
        connect.addListener(
                future -> {
                    if (connect.isSuccess()) {
                        connect.channel()
                                .pipeline()
                                .get(Connection.class)
                                .send(call, request, timeoutMs);
                    } else {
                        request.release();
                        call.complete(ReplyStatus.NO_REPLY, null);
                    }
                });
    }

    /** Closes all idle connections. */
    public void closeIdleConnections() {
        // Iterates over a copy, since a closed connection removes itself from the queue.
        List.copyOf(idleConnections).forEach(connection -> connection.channel.close());
    }

    /** A call in flight, which is completed once: by a response, a failure or a timeout. */
    private final class PendingCall {
        private final ResponseHandler handler;
        private boolean completed;

        PendingCall(ResponseHandler handler) {
            this.handler = handler;
        }

        void complete(int status, Map<String, Object> body) {
            if (!completed) {
                completed = true;
                callsInFlight--;
                handler.onResponse(status, body);
            }
        }
    }

    /** A persistent connection, which handles one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel channel;
        private PendingCall pendingCall;
        private ScheduledFuture<?> timeout;

        Connection(Channel channel) {
            this.channel = channel;
        }

        void send(PendingCall call, FullHttpRequest request, long timeoutMs) {
            pendingCall = call;
            timeout =
                    loop.schedule(
                            () -> {
                                channel.close();
                                finish(ReplyStatus.NO_REPLY, null);
                            },
                            timeoutMs,
                            TimeUnit.MILLISECONDS);
            channel.writeAndFlush(request);
        }

        private void finish(int status, Map<String, Object> body) {
            if (pendingCall != null) {
                timeout.cancel(/* mayInterruptIfRunning= */ false);
                PendingCall call = pendingCall;
                pendingCall = null;
                call.complete(status, body);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            int status =
                    response.decoderResult().isSuccess()
                            ? response.status().code()
                            : ReplyStatus.NO_REPLY;
            Map<String, Object> body = null;
            if (response.content().isReadable()) {
                try {
                    body = FieldMap.parseCbor(ByteBufUtil.getBytes(response.content())).asMap();
                } catch (IOException e) {
                    // Only a success requires a valid body.
                    status = status == ReplyStatus.OK ? ReplyStatus.NO_REPLY : status;
                }
            }
            if (status == ReplyStatus.OK && body == null) {
                body = Map.of();
            }
            if (status != ReplyStatus.NO_REPLY
                    && HttpUtil.isKeepAlive(response)
                    && idleConnections.size() < maxIdleConnections) {
                idleConnections.addLast(this);
            } else {
                channel.close();
            }
            finish(status, body);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idleConnections.remove(this);
            finish(ReplyStatus.NO_REPLY, null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
