package org.shoreusher.user;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Combines a request with its body. A body above the limit is rejected with status 400 before it
 * has arrived completely.
 */
final class BodyAggregator extends HttpObjectAggregator {
    BodyAggregator() {
        super(FrontendConstants.MAX_REQUEST_BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        boolean keepAlive = false;
        ResponseWriter.writeError(
                context,
                keepAlive,
                HttpResponseStatus.BAD_REQUEST,
                "the request body is longer than the limit of "
                        + FrontendConstants.MAX_REQUEST_BODY_BYTES
                        + " bytes");
    }
}
