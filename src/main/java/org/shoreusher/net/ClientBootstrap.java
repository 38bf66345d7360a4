package org.shoreusher.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.function.Consumer;

/** Creates bootstraps with the options of all outgoing connections. */
public final class ClientBootstrap {
    private ClientBootstrap() {}

    /**
     * Creates a bootstrap for outgoing connections.
     *
     * @param initializer adds the handlers to the pipeline of a new connection
     */
    public static Bootstrap create(EventLoopGroup loop, Consumer<Channel> initializer) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NetConstants.CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                initializer.accept(channel);
                            }
                        });
    }
}
