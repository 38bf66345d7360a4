package org.shoreusher.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.function.Consumer;
import org.shoreusher.core.message.CancellationMessage;
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
 * Sends gossip to the other controllers, and receives all their messages: gossip, standby messages
 * and messages about cancellations. Gossip that cannot be sent immediately is dropped. Each message
 * is a frame with a length prefix of 4 bytes.
 */
public final class GossipTransport {
    private static final Logger LOG = LoggerFactory.getLogger("shoreusher");

    private final EventLoopGroup loop;
    private final Settings settings;
    private final Consumer<Command> core;
    private final GossipCodec codec = new GossipCodec();
    private final PeerConnections connections;

    /** Creates a transport that passes received messages to the core as commands. */
    public GossipTransport(EventLoopGroup loop, Settings settings, Consumer<Command> core) {
        this.loop = loop;
        this.settings = settings;
        this.core = core;
        connections = new PeerConnections(loop, /* sendsOnConnect= */ false);
    }

    /**
     * Binds to the peer address of the settings and accepts connections.
     *
     * @throws InterruptedException if the thread is interrupted while it waits for the binding
     */
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
                                                        /* lengthFieldOffset= */ 0,
                                                        PeerConstants.LENGTH_PREFIX_BYTES,
                                                        /* lengthAdjustment= */ 0,
                                                        /* initialBytesToStrip= */ PeerConstants
                                                                .LENGTH_PREFIX_BYTES),
                                                new FrameHandler());
                            }
                        })
                .bind(settings.peerAddress().ip(), settings.peerAddress().port())
                .sync();
    }

    /** Sends a message to each connected peer, and opens connections to the others. */
    public void broadcast(GossipMessage message) {
        byte[] encoded = codec.encode(message);
        for (Settings.Member member : settings.members()) {
            connections.send(member.host(), member.address(), encoded);
        }
    }

    /** Decodes the frames of a connection, which is closed if a frame is invalid. */
    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            Command command = decodeOrNull(ByteBufUtil.getBytes(frame));
            if (command == null) {
                EventLogger.log(LOG, LogEvent.of(LogEventType.PEER_MESSAGE_INVALID));
                context.close();
            } else {
                core.accept(command);
            }
        }

        private Command decodeOrNull(byte[] bytes) {
            if (bytes.length > 0 && StandbyCodec.startsStandbyMessage(bytes[0])) {
                StandbyMessage message = StandbyCodec.decode(bytes);
                return message == null ? null : new Command.Standby(message);
            }
            if (bytes.length > 0 && CancellationTransport.startsCancellationMessage(bytes[0])) {
                CancellationMessage message = CancellationTransport.decode(bytes);
                return message == null ? null : new Command.Cancellation(message);
            }
            GossipMessage gossip = codec.decode(bytes);
            return gossip == null ? null : new Command.Gossip(gossip);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
