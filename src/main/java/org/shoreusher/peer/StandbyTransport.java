package org.shoreusher.peer;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.StandbyMessage;

/**
 * Sends standby messages to other controllers. They have their own connections: a controller
 * without the feature closes the connection on them, which must not lose gossip. Messages that
 * cannot be sent at once are dropped; the leader sends them again, or gives up its standby.
 */
public final class StandbyTransport {
    private final Map<String, Settings.Address> addresses = new HashMap<>();
    private final PeerConnections connections;
    private long messagesSent;
    private long bytesSent;

    /** A transport to the members in the settings. */
    public StandbyTransport(EventLoopGroup loop, Settings settings) {
        settings.members().forEach(member -> addresses.put(member.host(), member.address()));
        connections = new PeerConnections(loop, true);
    }

    /** Sends a message to the controller of a host. Ignored if the host is not a member. */
    public void send(String host, StandbyMessage message) {
        Settings.Address address = addresses.get(host);
        if (address == null) {
            return;
        }
        byte[] encoded = StandbyCodec.encode(message);
        messagesSent++;
        bytesSent += encoded.length;
        connections.send(host, address, encoded);
    }

    /** The traffic since the last call, which resets it; null if nothing was sent. */
    public LogEvent drainTrafficSummary() {
        if (messagesSent == 0) {
            return null;
        }
        LogEvent summary =
                LogEvent.of(LogEventType.STANDBY_TRAFFIC)
                        .with("messages", messagesSent)
                        .with("bytes", bytesSent);
        messagesSent = 0;
        bytesSent = 0;
        return summary;
    }
}
