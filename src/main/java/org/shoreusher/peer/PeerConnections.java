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
 * Outgoing connections to other controllers, one to each host, which are opened when there is
 * something to send. Messages are sent as frames with a length prefix. Not thread-safe.
 */
final class PeerConnections {
    private final Bootstrap bootstrap;
    private final boolean sendsOnConnect;
    private final Map<String, Channel> connections = new HashMap<>();

    /** The last message for each host that is being connected, if it is to be sent then. */
    private final Map<String, Optional<byte[]>> connecting = new HashMap<>();

    /**
     * No connections yet.
     *
     * @param sendsOnConnect whether the last message that is sent while a connection is being
     *     opened goes out first; otherwise such messages are dropped
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

    /** Sends a message if the host is connected and reachable; connects to it otherwise. */
    void send(String host, Settings.Address address, byte[] message) {
        Channel connection = connections.get(host);
        if (connection == null || !connection.isActive()) {
            connect(host, address, message);
        } else if (connection.isWritable()) {
            connection.writeAndFlush(Unpooled.wrappedBuffer(message));
        } else {
            // The peer is unreachable: what is queued would arrive minutes late and be useless.
            connection.close();
        }
    }

    private void connect(String host, Settings.Address address, byte[] message) {
        Optional<byte[]> first = sendsOnConnect ? Optional.of(message) : Optional.empty();
        if (connecting.put(host, first) != null) {
            return;
        }
        ChannelFuture connection = bootstrap.connect(address.ip(), address.port());
        connection.addListener(
                future -> {
                    Optional<byte[]> last = connecting.remove(host);
                    if (connection.isSuccess()) {
                        connections.put(host, connection.channel());
                        last.ifPresent(
                                bytes ->
                                        connection
                                                .channel()
                                                .writeAndFlush(Unpooled.wrappedBuffer(bytes)));
                    }
                });
    }

    /** Peers send nothing on connections that this node opened, so any input closes them. */
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
