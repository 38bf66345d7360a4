package org.shoreusher.peer;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import org.shoreusher.core.message.CancellationMessage;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.CancellationFormat;

/**
 * Sends messages about cancellations to other controllers, on connections of their own. Each begins
 * with a marker byte that distinguishes it from gossip and from standby messages. A lost message is
 * sent again by the core.
 */
public final class CancellationTransport {
    /** Kryo's encoding of an empty string; gossip begins with a host name, which is not empty. */
    private static final byte CANCELLATION_MARKER = (byte) 0x81;

    private final Settings settings;
    private final PeerConnections connections;

    /** Creates a transport to the members in the settings. */
    public CancellationTransport(EventLoopGroup loop, Settings settings) {
        this.settings = settings;
        connections = new PeerConnections(loop, /* sendsOnConnect= */ true);
    }

    /** Sends a message to the controller of a host; does nothing if the host is not a member. */
    public void send(String host, CancellationMessage message) {
        byte[] encoded = encode(message);
        settings.members().stream()
                .filter(member -> member.host().equals(host))
                .forEach(member -> connections.send(host, member.address(), encoded));
    }

    /** Whether a message with this first byte is about a cancellation. */
    static boolean startsCancellationMessage(byte first) {
        return first == CANCELLATION_MARKER;
    }

    static byte[] encode(CancellationMessage message) {
        byte[] body = CancellationFormat.encode(message);
        byte[] encoded = new byte[body.length + 1];
        encoded[0] = CANCELLATION_MARKER;
        System.arraycopy(body, 0, encoded, 1, body.length);
        return encoded;
    }

    /** Decodes a message with its marker; null if the bytes are not a valid message. */
    static CancellationMessage decode(byte[] bytes) {
        byte[] body = new byte[bytes.length - 1];
        System.arraycopy(bytes, 1, body, 0, body.length);
        try {
            return CancellationFormat.decode(body);
        } catch (IOException invalid) {
            return null;
        }
    }
}
