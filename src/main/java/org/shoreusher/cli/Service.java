package org.shoreusher.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;
import org.shoreusher.cloud.CloudClient;
import org.shoreusher.core.ClockReading;
import org.shoreusher.core.Command;
import org.shoreusher.core.Effect;
import org.shoreusher.core.Node;
import org.shoreusher.peer.Peers;
import org.shoreusher.peer.StandbyLines;
import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.state.StateClient;
import org.shoreusher.user.HttpFrontend;
import org.shoreusher.worker.WorkerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running controller. Adapters put commands into a queue; the core processes them in batches and
 * returns effects, which the adapters carry out. All of it runs on one event loop.
 */
public final class Service {
    private static final Logger LOG = LoggerFactory.getLogger("shoreusher");

    private final Settings settings;
    private final Node node;
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final ManyToOneConcurrentArrayQueue<Command> queue;
    private final List<Command> batch = new ArrayList<>(Tuning.BATCH);
    private final StateClient state;
    private final CloudClient cloud;
    private final WorkerClient workers;
    private final Peers peers;
    private final StandbyLines standbyLines;
    private final HttpFrontend front;
    private boolean working;
    private long tickedAtMs;
    private long lateMs;

    /**
     * Connects the core to its adapters. Nothing is sent before {@link #run}.
     *
     * @param owner identifies this process: its host and a random incarnation
     */
    public Service(Settings settings, Features features, String owner) {
        this.settings = settings;
        queue = new ManyToOneConcurrentArrayQueue<>(Math.max(Tuning.QUEUE, settings.sockets()));
        node = new Node(settings, features, owner, Tuning.PARTS);
        state = new StateClient(loop, settings, this::mustTake);
        cloud = new CloudClient(loop, settings, this::mustTake);
        workers = new WorkerClient(loop);
        peers = new Peers(group, settings, this::take);
        standbyLines = new StandbyLines(group, settings);
        front = new HttpFrontend(group, settings, this::take, this::lagMs);
    }

    /** Accepts connections and processes commands until {@link #stop} or the end of the process. */
    public void run() throws InterruptedException {
        front.listen();
        peers.listen();
        LOG.info(
                "serving: {} in {}, front {}, back {}",
                settings.host(),
                settings.zone(),
                settings.front(),
                settings.back());
        tickedAtMs = steadyMs();
        loop.scheduleWithFixedDelay(this::tick, 0, Tuning.TICK_MS, TimeUnit.MILLISECONDS);
        if (LOG.isDebugEnabled()) {
            loop.scheduleAtFixedRate(
                    () -> LOG.debug(front.latency()),
                    Tuning.LATENCY_LINE_S,
                    Tuning.LATENCY_LINE_S,
                    TimeUnit.SECONDS);
            loop.scheduleAtFixedRate(
                    this::logStatus,
                    Tuning.STATUS_LINE_MS,
                    Tuning.STATUS_LINE_MS,
                    TimeUnit.MILLISECONDS);
        }
        group.terminationFuture().sync();
    }

    /** Shuts the event loop down; {@link #run} then returns. */
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void logStatus() {
        LOG.debug(ProcessStatus.line(front.connections()));
        String sent = standbyLines.sent();
        if (sent != null) {
            LOG.debug(sent);
        }
    }

    private void tick() {
        long now = steadyMs();
        lateMs = Math.max(0, now - tickedAtMs - Tuning.TICK_MS);
        tickedAtMs = now;
        take(new Command.Tick());
    }

    /**
     * ms by which this node lags behind its work: the delay of the last tick, or of the next one.
     */
    private long lagMs() {
        return Math.max(lateMs, steadyMs() - tickedAtMs - Tuning.TICK_MS);
    }

    private static long steadyMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private boolean take(Command command) {
        if (!queue.offer(command)) {
            return false;
        }
        wake();
        return true;
    }

    /**
     * Enqueues a reply to a call of the core, which waits for each: a full queue is drained first.
     */
    private void mustTake(Command command) {
        while (!queue.offer(command)) {
            work();
        }
        wake();
    }

    private void wake() {
        if (!working) {
            working = true;
            loop.execute(this::work);
        }
    }

    private void work() {
        working = false;
        queue.drainTo(batch, Tuning.BATCH);
        List<Effect> effects =
                node.step(new ClockReading(steadyMs(), System.currentTimeMillis()), batch);
        batch.clear();
        for (Effect effect : effects) {
            carryOut(effect);
        }
        if (!queue.isEmpty()) {
            wake();
        }
    }

    private void carryOut(Effect effect) {
        if (effect instanceof Effect.Respond e) {
            front.answer(e);
        } else if (effect instanceof Effect.StateCall e) {
            state.call(e);
        } else if (effect instanceof Effect.CloudCall e) {
            cloud.call(e);
        } else if (effect instanceof Effect.Orders e) {
            workers.send(e);
        } else if (effect instanceof Effect.Tell e) {
            peers.tell(e.message());
        } else if (effect instanceof Effect.SendToPeer e) {
            standbyLines.send(e.host(), e.message());
        } else if (effect instanceof Effect.Log e) {
            if (e.debugOnly()) {
                LOG.debug(e.line());
            } else {
                LOG.info(e.line());
            }
        }
    }
}
