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
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.standby.StandbyMessage;

/**
 * Sends messages of the warm standby to other controllers, over connections of their own: one that
 * does not know them closes the connection, and hints must not be lost by that. What can't be sent
 * at once is dropped; the sender sends it again, or does without a standby.
 */
public final class StandbyLines {
    private final Map<String, Settings.Address> addresses = new HashMap<>();
    private final Map<String, Channel> lines = new HashMap<>();
    private final Map<String, byte[]> connecting = new HashMap<>();
    private final Bootstrap bootstrap;
    private long messages;
    private long bytesSent;

    /** An adapter that knows the other members' addresses. */
    public StandbyLines(EventLoopGroup loop, Settings settings) {
        settings.members().forEach(member -> addresses.put(member.host(), member.address()));
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, Tuning.CONNECT_MS)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel ch) {
                                        ch.pipeline()
                                                .addLast(
                                                        new LengthFieldPrepender(4),
                                                        new ClosingHandler());
                                    }
                                });
    }

    /** Sends a message to the controller of a host; one that is no member gets nothing. */
    public void send(String host, StandbyMessage message) {
        Settings.Address address = addresses.get(host);
        if (address == null) {
            return;
        }
        byte[] bytes = StandbyCodec.write(message);
        messages++;
        bytesSent += bytes.length;
        Channel line = lines.get(host);
        if (line == null || !line.isActive()) {
            connect(host, address, bytes);
        } else if (line.isWritable()) {
            line.writeAndFlush(Unpooled.wrappedBuffer(bytes));
        } else {
            line.close();
        }
    }

    /** What was sent since the last call, as one line; null if nothing was. */
    public String sent() {
        if (messages == 0) {
            return null;
        }
        String line = "standby: sent " + messages + " messages of " + bytesSent + " bytes";
        messages = 0;
        bytesSent = 0;
        return line;
    }

    /** Connects; the last message that is to be sent meanwhile goes out first. */
    private void connect(String host, Settings.Address address, byte[] bytes) {
        if (connecting.put(host, bytes) != null) {
            return;
        }
        ChannelFuture connect = bootstrap.connect(address.ip(), address.port());
        connect.addListener(
                done -> {
                    byte[] last = connecting.remove(host);
                    if (connect.isSuccess()) {
                        lines.put(host, connect.channel());
                        connect.channel().writeAndFlush(Unpooled.wrappedBuffer(last));
                    }
                });
    }

    /** The other side says nothing on a connection that this node opened. */
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
