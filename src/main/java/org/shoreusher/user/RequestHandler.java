package org.shoreusher.user;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.shoreusher.core.message.MessageConstants;

/**
 * Handles the requests of one connection, one at a time: decodes each into a command for the core,
 * or rejects it.
 */
final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final HttpFrontend frontend;
    private final ConnectionTimeouts timeouts;
    private long currentRequestId;

    RequestHandler(HttpFrontend frontend, ConnectionTimeouts timeouts) {
        this.frontend = frontend;
        this.timeouts = timeouts;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (!request.decoderResult().isSuccess()) {
            timeouts.onRequestComplete(context, /* fromWorker= */ false);
            ResponseWriter.writeError(
                    context,
                    /* keepAlive= */ false,
                    HttpResponseStatus.BAD_REQUEST,
                    "the request is not valid HTTP, or its request line or headers are too long");
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        boolean fromUser = RequestDecoder.isForUsers(request.uri());
        currentRequestId = frontend.nextRequestId();
        timeouts.onRequestComplete(context, RequestDecoder.isHeartbeat(request.uri()));
        if (fromUser && mustShed(request.method())) {
            ResponseWriter.writeUnavailable(
                    context, keepAlive, MessageConstants.retryAfterS(currentRequestId));
            return;
        }
        try {
            frontend.submit(
                    currentRequestId,
                    RequestDecoder.decode(currentRequestId, request),
                    new PendingRequest(context, keepAlive, System.nanoTime(), fromUser));
        } catch (RejectedRequestException e) {
            ResponseWriter.writeError(context, keepAlive, e.status(), e.getMessage());
        }
    }

    /**
     * Whether a user's request is rejected because the event loop is delayed. Polls are rejected
     * first, then submissions and cancellations. Heartbeats are not rejected for this reason, since
     * workers without responses lose their leases.
     */
    private boolean mustShed(HttpMethod method) {
        return frontend.eventLoopDelayMs()
                > (method.equals(HttpMethod.GET)
                        ? FrontendConstants.SHED_POLLS_EVENT_LOOP_DELAY_MS
                        : FrontendConstants.SHED_WRITES_EVENT_LOOP_DELAY_MS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        frontend.discard(currentRequestId);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
