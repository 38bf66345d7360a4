package org.shoreusher.peer;

import org.shoreusher.standby.StandbyMessage;

/** Gives tests of other packages access to the encoding of standby messages. */
public final class StandbyMessageCodec {
    private StandbyMessageCodec() {}

    /** Encodes a message as it is sent to another controller. */
    public static byte[] encode(StandbyMessage message) {
        return StandbyCodec.encode(message);
    }

    /** Decodes a message; null if the bytes are not a valid message. */
    public static StandbyMessage decode(byte[] bytes) {
        return StandbyCodec.decode(bytes);
    }
}
