package org.shoreusher.state;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.shoreusher.core.Command;
import org.shoreusher.core.Effect;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.StateFormat;

/** Carries calls to the state service and brings back their answers. */
public final class StateClient {
    private final HttpCaller caller;

    /**
     * Heartbeats have connections of their own, so that nothing that holds the others starves them.
     */
    private final HttpCaller renewals;

    private final Consumer<Command> core;

    /** A client whose replies go to the core as commands. */
    public StateClient(EventLoop loop, Settings settings, Consumer<Command> core) {
        caller = new HttpCaller(loop, settings.state());
        renewals = new HttpCaller(loop, settings.state());
        this.core = core;
    }

    /** Sends a call; the reply, or a status of 0 without one, goes to the core. */
    public void call(Effect.StateCall call) {
        StateFormat.Request request = StateFormat.request(call.op());
        long wait = call.op() instanceof Effect.StateOp.Watch w ? w.blockMs() : 0;
        HttpCaller line = call.urgent() ? renewals : caller;
        line.call(
                request.path(),
                request.body(),
                Tuning.STATE_TIMEOUT_MS + wait,
                (status, body) -> core.accept(new Command.StateReply(call.call(), status, body)));
    }
}
