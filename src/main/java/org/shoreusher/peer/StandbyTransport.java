package org.shoreusher.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.HashMap;
import java.util.Map;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.net.NetConstants;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.StandbyMessage;

/**
 * Sends standby messages to other controllers. They have their own connections: a controller
 * without the feature closes the connection on them, which must not lose gossip. Messages that
 * cannot be sent at once are dropped; the leader sends them again, or gives up its standby.
 */
public final class StandbyTransport {
    private final Map<String, Settings.Address> addresses = new HashMap<>();
    private final Map<String, Channel> connections = new HashMap<>();
    private final Map<String, byte[]> pendingMessages = new HashMap<>();
    private final Bootstrap bootstrap;
    private long messagesSent;
    private long bytesSent;

    /** A transport to the members in the settings. */
    public StandbyTransport(EventLoopGroup loop, Settings settings) {
        settings.members().forEach(member -> addresses.put(member.host(), member.address()));
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                NetConstants.CONNECT_TIMEOUT_MS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new LengthFieldPrepender(4),
                                                        new ClosingHandler());
                                    }
                                });
    }

    /** Sends a message to the controller of a host. Ignored if the host is not a member. */
    public void send(String host, StandbyMessage message) {
        Settings.Address address = addresses.get(host);
        if (address == null) {
            return;
        }
        byte[] encoded = StandbyCodec.encode(message);
        messagesSent++;
        bytesSent += encoded.length;
        Channel connection = connections.get(host);
        if (connection == null || !connection.isActive()) {
            connect(host, address, encoded);
        } else if (connection.isWritable()) {
            connection.writeAndFlush(Unpooled.wrappedBuffer(encoded));
        } else {
            connection.close();
        }
    }

    /** A line on the traffic since the last call, which resets it; null if nothing was sent. */
    public LogEvent drainTrafficSummary() {
        if (messagesSent == 0) {
            return null;
        }
        LogEvent summary =
                LogEvent.of(LogEventType.STANDBY_TRAFFIC)
                        .with("messages", messagesSent)
                        .with("bytes", bytesSent);
        messagesSent = 0;
        bytesSent = 0;
        return summary;
    }

    /** Connects. Of the messages to be sent meanwhile, only the last one is kept and sent. */
    private void connect(String host, Settings.Address address, byte[] message) {
        if (pendingMessages.put(host, message) != null) {
            return;
        }
        ChannelFuture connect = bootstrap.connect(address.ip(), address.port());
        connect.addListener(
                done -> {
                    byte[] lastMessage = pendingMessages.remove(host);
                    if (connect.isSuccess()) {
                        connections.put(host, connect.channel());
                        connect.channel().writeAndFlush(Unpooled.wrappedBuffer(lastMessage));
                    }
                });
    }

    /** Peers send nothing on connections that this node opened, so any input closes them. */
    private static final class ClosingHandler extends SimpleChannelInboundHandler<Object> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object unexpected) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
