package org.shoreusher.peer;

import org.shoreusher.standby.StandbyMessage;

/** The bytes of messages of the warm standby, for tests of other packages. */
public final class MessageBytes {
    private MessageBytes() {}

    /** The message as it is sent to another controller. */
    public static byte[] of(StandbyMessage message) {
        return StandbyCodec.encode(message);
    }

    /** The message in bytes that came from another controller; null if there is none. */
    public static StandbyMessage read(byte[] bytes) {
        return StandbyCodec.decode(bytes);
    }
}
