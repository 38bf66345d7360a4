package org.shoreusher.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.GossipMessage;
import org.shoreusher.log.EventLogger;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.net.NetConstants;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.StandbyMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends gossip to the other controllers, and receives their gossip and standby messages. Gossip
 * that cannot be sent at once is dropped. Frames have a length prefix of 4 bytes.
 */
public final class GossipTransport {
    private static final Logger LOG = LoggerFactory.getLogger("shoreusher");

    private final EventLoopGroup loop;
    private final Settings settings;
    private final Consumer<Command> core;
    private final GossipCodec codec = new GossipCodec();
    private final Map<String, Channel> connections = new HashMap<>();
    private final Map<String, Boolean> connecting = new HashMap<>();

    /** A transport that passes received messages to the core as commands. */
    public GossipTransport(EventLoopGroup loop, Settings settings, Consumer<Command> core) {
        this.loop = loop;
        this.settings = settings;
        this.core = core;
    }

    /** Binds to the peer address and accepts connections. */
    public void listen() throws InterruptedException {
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new ReadTimeoutHandler(
                                                        NetConstants.IDLE_CONNECTION_TIMEOUT_S),
                                                new LengthFieldBasedFrameDecoder(
                                                        PeerConstants.MAX_PEER_MESSAGE_BYTES,
                                                        0,
                                                        4,
                                                        0,
                                                        4),
                                                new FrameHandler());
                            }
                        })
                .bind(settings.peerAddress().ip(), settings.peerAddress().port())
                .sync();
    }

    /** Sends a message to each connected peer, and starts connecting to the others. */
    public void broadcast(GossipMessage message) {
        byte[] bytes = codec.encode(message);
        for (Settings.Member member : settings.members()) {
            Channel connection = connections.get(member.host());
            if (connection == null || !connection.isActive()) {
                connect(member);
            } else if (connection.isWritable()) {
                connection.writeAndFlush(Unpooled.wrappedBuffer(bytes));
            } else {
                // The peer is unreachable: queued gossip would arrive minutes late and be useless.
                connection.close();
            }
        }
    }

    private void connect(Settings.Member member) {
        if (connecting.putIfAbsent(member.host(), true) != null) {
            return;
        }
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NetConstants.CONNECT_TIMEOUT_MS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(new LengthFieldPrepender(4), new ClosingHandler());
                            }
                        })
                .connect(member.address().ip(), member.address().port())
                .addListener(
                        (io.netty.channel.ChannelFuture done) -> {
                            connecting.remove(member.host());
                            if (done.isSuccess()) {
                                connections.put(member.host(), done.channel());
                            }
                        });
    }

    /** Decodes the frames of a connection, and closes it on an invalid one. */
    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            Command command = command(ByteBufUtil.getBytes(frame));
            if (command == null) {
                EventLogger.log(LOG, LogEvent.of(LogEventType.PEER_MESSAGE_INVALID));
                ctx.close();
            } else {
                core.accept(command);
            }
        }

        private Command command(byte[] bytes) {
            if (bytes.length > 0 && StandbyCodec.startsStandbyMessage(bytes[0])) {
                StandbyMessage message = StandbyCodec.decode(bytes);
                return message == null ? null : new Command.Standby(message);
            }
            GossipMessage gossip = codec.decode(bytes);
            return gossip == null ? null : new Command.Gossip(gossip);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Peers send nothing on connections that this node opened, so any input closes them. */
    private static final class ClosingHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf unexpected) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
