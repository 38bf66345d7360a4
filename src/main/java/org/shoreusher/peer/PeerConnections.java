package org.shoreusher.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.shoreusher.net.ClientBootstrap;
import org.shoreusher.settings.Settings;

/**
 * Outgoing connections to other controllers, one for each host, which are opened when a message is
 * to be sent. Messages are sent as frames with a length prefix. Not thread-safe.
 */
final class PeerConnections {
    private final Bootstrap bootstrap;
    private final boolean sendsOnConnect;
    private final Map<String, Channel> connections = new HashMap<>();

    /**
     * The hosts to which a connection is being opened, each with the message to be sent on it
     * first; empty if there is none.
     */
    private final Map<String, Optional<byte[]>> firstMessages = new HashMap<>();

    /**
     * Creates an object without connections.
     *
     * @param sendsOnConnect whether the latest message passed to {@link #send} while a connection
     *     is being opened is sent on it first; otherwise all such messages are dropped
     */
    PeerConnections(EventLoopGroup loop, boolean sendsOnConnect) {
        this.sendsOnConnect = sendsOnConnect;
        bootstrap =
                ClientBootstrap.create(
                        loop,
                        channel ->
                                channel.pipeline()
                                        .addLast(
                                                new LengthFieldPrepender(
                                                        PeerConstants.LENGTH_PREFIX_BYTES),
                                                new ClosingHandler()));
    }

    /**
     * Sends a message if there is a connection to the host, and opens one otherwise. If the send
     * buffer of the connection is full, the message is dropped and the connection closed.
     */
    void send(String host, Settings.Address address, byte[] message) {
        Channel connection = connections.get(host);
        if (connection == null || !connection.isActive()) {
            connect(host, address, message);
        } else if (connection.isWritable()) {
            connection.writeAndFlush(Unpooled.wrappedBuffer(message));
        } else {
            // The peer is unreachable. The queued messages would be useless, since they would
            // arrive minutes late.
            connection.close();
        }
    }

    private void connect(String host, Settings.Address address, byte[] message) {
        Optional<byte[]> firstMessage = sendsOnConnect ? Optional.of(message) : Optional.empty();
        if (firstMessages.put(host, firstMessage) != null) {
            // A connection is already being opened; its first message has been replaced.
            return;
        }
        ChannelFuture connection = bootstrap.connect(address.ip(), address.port());
        connection.addListener(
                future -> {
                    Optional<byte[]> latestMessage = firstMessages.remove(host);
                    if (connection.isSuccess()) {
                        connections.put(host, connection.channel());
                        latestMessage.ifPresent(
                                bytes ->
                                        connection
                                                .channel()
                                                .writeAndFlush(Unpooled.wrappedBuffer(bytes)));
                    }
                });
    }

    /**
     * Closes the connection on any input: peers send nothing on connections that this node opened.
     */
    private static final class ClosingHandler extends SimpleChannelInboundHandler<Object> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Object unexpected) {
            context.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
