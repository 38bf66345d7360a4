package org.shoreusher.state;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.shoreusher.core.Command;
import org.shoreusher.core.Effect;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.Tuning;
import org.shoreusher.wire.StateFormat;

/** Client of the key-value store: carries out the core's store calls. */
public final class StateClient {
    private final HttpCaller caller;

    /**
     * Lease renewals have their own connections, so that slow calls on the others do not delay
     * them.
     */
    private final HttpCaller renewals;

    private final Consumer<Command> core;

    /** A client that passes the replies to the core as commands. */
    public StateClient(EventLoop loop, Settings settings, Consumer<Command> core) {
        caller = new HttpCaller(loop, settings.state());
        renewals = new HttpCaller(loop, settings.state());
        this.core = core;
    }

    /** Sends a call. The core gets exactly one reply; its status is 0 on failure or timeout. */
    public void call(Effect.StateCall call) {
        StateFormat.Request request = StateFormat.request(call.operation());
        long wait = call.operation() instanceof Effect.StateOp.Watch w ? w.blockMs() : 0;
        HttpCaller line = call.urgent() ? renewals : caller;
        line.call(
                request.path(),
                request.body(),
                Tuning.STATE_TIMEOUT_MS + wait,
                (status, body) -> core.accept(new Command.StateReply(call.callId(), status, body)));
    }
}
