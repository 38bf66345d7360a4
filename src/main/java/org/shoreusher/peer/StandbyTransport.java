package org.shoreusher.peer;

import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;
import org.shoreusher.settings.Settings;
import org.shoreusher.standby.StandbyMessage;

/**
 * Sends standby messages to other controllers, on connections separate from those of gossip: a
 * controller without the standby feature closes the connection on which it receives one, and no
 * gossip must be lost with that connection. While a connection is being opened, only the latest
 * message is kept; if the send buffer of a connection is full, the message is dropped. The leader
 * sends a lost message again or abandons its standby.
 */
public final class StandbyTransport {
    private final Map<String, Settings.Address> addresses = new HashMap<>();
    private final PeerConnections connections;
    private long messagesSent;
    private long bytesSent;

    /** Creates a transport to the members in the settings. */
    public StandbyTransport(EventLoopGroup loop, Settings settings) {
        settings.members().forEach(member -> addresses.put(member.host(), member.address()));
        connections = new PeerConnections(loop, /* sendsOnConnect= */ true);
    }

    /** Sends a message to the controller of a host; does nothing if the host is not a member. */
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

    /** Returns the traffic since the last call and resets it; null if nothing was sent. */
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
