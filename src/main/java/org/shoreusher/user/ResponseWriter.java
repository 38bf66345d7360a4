package org.shoreusher.user;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.ResponseFormat;

/** Writes HTTP responses with CBOR bodies, and resumes reading requests from the connection. */
final class ResponseWriter {
    static final int NO_RETRY_AFTER = 0;

    private ResponseWriter() {}

    /**
     * Writes an error response.
     *
     * @param problem a sentence for the client about the error in its request
     */
    static void writeError(
            ChannelHandlerContext context,
            boolean keepAlive,
            HttpResponseStatus status,
            String problem) {
        write(context, keepAlive, status, ResponseFormat.errorBody(problem), NO_RETRY_AFTER);
    }

    /** Writes a response with status 503 and a Retry-After header. */
    static void writeUnavailable(
            ChannelHandlerContext context, boolean keepAlive, int retryAfterS) {
        write(context, keepAlive, HttpResponseStatus.SERVICE_UNAVAILABLE, Map.of(), retryAfterS);
    }

    /**
     * Writes a response.
     *
     * @param keepAlive whether the connection stays open
     * @param retryAfterS value of the Retry-After header in seconds; 0 for no header
     */
    static void write(
            ChannelHandlerContext context,
            boolean keepAlive,
            HttpResponseStatus status,
            Map<String, Object> body,
            int retryAfterS) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.wrappedBuffer(FieldMap.toCbor(body)));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/cbor");
        HttpUtil.setContentLength(response, response.content().readableBytes());
        if (retryAfterS > NO_RETRY_AFTER) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterS);
        }
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.writeAndFlush(response)
                .addListener(
                        keepAlive
                                ? ChannelFutureListener.CLOSE_ON_FAILURE
                                : ChannelFutureListener.CLOSE);
        context.channel().config().setAutoRead(true);
    }
}
