package org.shoreusher.user;

import io.netty.channel.ChannelHandlerContext;

/**
 * A request to which the core has not responded yet.
 *
 * @param context the channel to which the response is written
 * @param keepAlive whether the connection stays open after the response
 * @param receivedAtNs when it arrived, from {@link System#nanoTime}
 * @param fromUser whether a user sent it, rather than a worker or the load balancer
 */
record PendingRequest(
        ChannelHandlerContext context, boolean keepAlive, long receivedAtNs, boolean fromUser) {}
