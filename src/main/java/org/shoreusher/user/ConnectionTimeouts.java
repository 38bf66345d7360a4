package org.shoreusher.user;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.shoreusher.net.NetConstants;
import org.shoreusher.settings.Settings;

/** Closes a connection that is idle, or whose request does not arrive in time. */
final class ConnectionTimeouts extends ChannelInboundHandlerAdapter {
    private final OpenConnections connections;
    private final int workerIdleTimeoutS;
    private ScheduledFuture<?> timeout;
    private boolean inRequest;

    /**
     * Creates the timeouts of one connection.
     *
     * @param workerIdleTimeoutS idle timeout after a heartbeat, in seconds
     */
    ConnectionTimeouts(OpenConnections connections, int workerIdleTimeoutS) {
        this.connections = connections;
        this.workerIdleTimeoutS = workerIdleTimeoutS;
    }

    /**
     * The idle timeout of a worker's connection, in seconds. A worker that has sent no heartbeat on
     * it for this long has stopped or uses another connection.
     */
    static int workerIdleTimeoutS(Settings settings) {
        return (int)
                Math.ceil(
                        Math.max(
                                FrontendConstants.MIN_WORKER_IDLE_TIMEOUT_S,
                                FrontendConstants.WORKER_IDLE_TIMEOUT_HEARTBEAT_INTERVALS
                                        * settings.heartbeatIntervalS()));
    }

    /** Restarts the idle timeout after a request has arrived completely. */
    void onRequestComplete(ChannelHandlerContext context, boolean fromWorker) {
        inRequest = false;
        connections.markUsed(context.channel());
        restart(context, fromWorker ? workerIdleTimeoutS : NetConstants.IDLE_CONNECTION_TIMEOUT_S);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connections.add(context.channel());
        restart(context, NetConstants.IDLE_CONNECTION_TIMEOUT_S);
        context.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (!inRequest) {
            inRequest = true;
            restart(context, FrontendConstants.REQUEST_READ_TIMEOUT_S);
        }
        context.fireChannelRead(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connections.remove(context.channel());
        cancel();
        context.fireChannelInactive();
    }

    private void restart(ChannelHandlerContext context, int seconds) {
        cancel();
        timeout = context.executor().schedule(() -> context.close(), seconds, TimeUnit.SECONDS);
    }

    private void cancel() {
        if (timeout != null) {
            timeout.cancel(/* mayInterruptIfRunning= */ false);
        }
    }
}
