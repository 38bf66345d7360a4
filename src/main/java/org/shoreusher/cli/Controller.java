package org.shoreusher.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.TimeUnit;
import org.shoreusher.cloud.CloudClient;
import org.shoreusher.core.Node;
import org.shoreusher.core.message.ClockReading;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.log.EventLogger;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.peer.CancellationTransport;
import org.shoreusher.peer.GossipTransport;
import org.shoreusher.peer.StandbyTransport;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SharedConstants;
import org.shoreusher.store.StoreClient;
import org.shoreusher.user.HttpFrontend;
import org.shoreusher.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running controller: connects the core to its adapters. Adapters put commands into a queue; the
 * core processes them in batches and returns effects, which the adapters carry out. All of it runs
 * on one event loop; see {@link CommandLoop}.
 */
final class Controller implements CommandLoop.Adapters {
    private static final Logger LOG = LoggerFactory.getLogger("shoreusher");

    private final Settings settings;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final CommandLoop commandLoop;
    private final StoreClient store;
    private final CloudClient cloud;
    private final WorkerClient workers;
    private final GossipTransport gossip;
    private final StandbyTransport standby;
    private final CancellationTransport cancellations;
    private final HttpFrontend frontend;
    private long lastTickMs;
    private long lastTickDelayMs;

    /**
     * Connects the core to its adapters. Nothing is sent before {@link #run}.
     *
     * @param processName identifies this process: its host and a random incarnation
     */
    Controller(Settings settings, Features features, String processName) {
        this.settings = settings;
        Node node = new Node(settings, features, processName, ControllerConstants.SHARD_COUNT);
        commandLoop =
                new CommandLoop(
                        loop,
                        () -> new ClockReading(monotonicMs(), System.currentTimeMillis()),
                        node::step,
                        this,
                        Math.max(
                                ControllerConstants.MIN_COMMAND_QUEUE_CAPACITY,
                                settings.maxSockets()));
        store = new StoreClient(loop, settings, commandLoop::enqueueReply);
        cloud = new CloudClient(loop, settings, commandLoop::enqueueReply);
        workers = new WorkerClient(loop);
        gossip = new GossipTransport(group, settings, commandLoop::offer);
        standby = new StandbyTransport(group, settings);
        cancellations = new CancellationTransport(group, settings);
        frontend = new HttpFrontend(group, settings, commandLoop::offer, this::eventLoopDelayMs);
    }

    /**
     * Accepts connections and processes commands until {@link #stop} is called.
     *
     * <p>A listener that cannot bind its address throws the checked exception of the bind.
     */
    void run() throws InterruptedException {
        frontend.listen();
        gossip.listen();
        EventLogger.log(
                LOG,
                LogEvent.of(LogEventType.NODE_LISTENING)
                        .with("host", settings.host())
                        .with("zone", settings.zone())
                        .with("front", settings.frontAddress())
                        .with("peer", settings.peerAddress()));
        lastTickMs = monotonicMs();
        loop.scheduleWithFixedDelay(
                this::tick, 0, ControllerConstants.TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        if (LOG.isDebugEnabled()) {
            loop.scheduleAtFixedRate(
                    () -> EventLogger.log(LOG, frontend.drainLatencySummary()),
                    SharedConstants.LATENCY_LOG_INTERVAL_S,
                    SharedConstants.LATENCY_LOG_INTERVAL_S,
                    TimeUnit.SECONDS);
            loop.scheduleAtFixedRate(
                    this::logStatus,
                    SharedConstants.STATUS_LOG_INTERVAL_MS,
                    SharedConstants.STATUS_LOG_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
        group.terminationFuture().sync();
    }

    /** Shuts the event loop down; {@link #run} then returns. */
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void logStatus() {
        EventLogger.log(LOG, ProcessStatus.statusEvent(frontend.connectionCount()));
        LogEvent traffic = standby.drainTrafficSummary();
        if (traffic != null) {
            EventLogger.log(LOG, traffic);
        }
    }

    private void tick() {
        long now = monotonicMs();
        lastTickDelayMs = Math.max(0, now - lastTickMs - ControllerConstants.TICK_INTERVAL_MS);
        lastTickMs = now;
        commandLoop.offer(new Command.Tick());
    }

    /**
     * Delay of the event loop in ms: by how much the last tick was late, or by how much the next
     * one is overdue already if that is more.
     */
    private long eventLoopDelayMs() {
        return Math.max(
                lastTickDelayMs, monotonicMs() - lastTickMs - ControllerConstants.TICK_INTERVAL_MS);
    }

    private static long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public void perform(Effect effect) {
        if (effect instanceof Effect.Respond respond) {
            frontend.respond(respond);
        } else if (effect instanceof Effect.StoreCall storeCall) {
            store.call(storeCall);
        } else if (effect instanceof Effect.CloudCall cloudCall) {
            cloud.call(cloudCall);
        } else if (effect instanceof Effect.SendOrders sendOrders) {
            workers.sendOrders(sendOrders);
        } else if (effect instanceof Effect.SendGossip sendGossip) {
            gossip.broadcast(sendGossip.message());
        } else if (effect instanceof Effect.SendStandbyMessage sendStandby) {
            standby.send(sendStandby.host(), sendStandby.message());
        } else if (effect instanceof Effect.SendCancellationMessage send) {
            cancellations.send(send.host(), send.message());
        } else if (effect instanceof Effect.Log log) {
            EventLogger.log(LOG, log.event());
        }
    }

    @Override
    public void respondInternalError(long requestId) {
        frontend.respondInternalError(requestId);
    }
}
