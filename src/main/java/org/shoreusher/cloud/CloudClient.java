package org.shoreusher.cloud;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.Effect;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.CloudFormat;
import org.shoreusher.wire.WireRequest;

/** Client of the cloud's API: carries out the core's cloud calls. */
public final class CloudClient {
    private final HttpCaller caller;
    private final Consumer<Command> core;

    /** Creates a client that passes the replies to the core as commands. */
    public CloudClient(EventLoop loop, Settings settings, Consumer<Command> core) {
        caller = new HttpCaller(loop, settings.cloudAddress());
        this.core = core;
    }

    /**
     * Sends a call. The core gets exactly one reply, with status {@code ReplyStatus.NO_REPLY} after
     * a failure or timeout.
     */
    public void call(Effect.CloudCall call) {
        WireRequest request = CloudFormat.request(call.operation());
        caller.call(
                request.path(),
                request.body(),
                CloudConstants.CLOUD_TIMEOUT_MS,
                (status, body) -> core.accept(new Command.CloudReply(call.callId(), status, body)));
    }
}
