package org.shoreusher.store;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.settings.SharedConstants;
import org.shoreusher.wire.StoreFormat;
import org.shoreusher.wire.WireRequest;

/** Client of the key-value store: carries out the core's store calls. */
public final class StoreClient {
    private final HttpCaller caller;

    /**
     * The client for lease renewals. They have their own connections, so that other slow calls do
     * not delay them.
     */
    private final HttpCaller leaseRenewalCaller;

    private final Consumer<Command> core;

    /** Creates a client that passes the replies to the core as commands. */
    public StoreClient(EventLoop loop, Settings settings, Consumer<Command> core) {
        caller = new HttpCaller(loop, settings.storeAddress());
        leaseRenewalCaller = new HttpCaller(loop, settings.storeAddress());
        this.core = core;
    }

    /**
     * Sends a call. The core gets exactly one reply, with status {@code ReplyStatus.NO_REPLY} after
     * a failure or timeout.
     */
    public void call(Effect.StoreCall call) {
        WireRequest request = StoreFormat.request(call.operation());
        long blockMs =
                call.operation() instanceof Effect.StoreOperation.Watch watch ? watch.blockMs() : 0;
        HttpCaller selectedCaller = call.urgent() ? leaseRenewalCaller : caller;
        selectedCaller.call(
                request.path(),
                request.body(),
                SharedConstants.STORE_TIMEOUT_MS + blockMs,
                (status, body) -> core.accept(new Command.StoreReply(call.callId(), status, body)));
    }
}
