package org.shoreusher.peer;

import org.shoreusher.standby.StandbyMessage;

/** Gives tests of other packages access to the encoding of standby messages. */
public final class MessageBytes {
    private MessageBytes() {}

    /** Encodes a message as it is sent to another controller. */
    public static byte[] of(StandbyMessage message) {
        return StandbyCodec.encode(message);
    }

    /** Decodes a message; null if the bytes are not a valid message. */
    public static StandbyMessage read(byte[] bytes) {
        return StandbyCodec.decode(bytes);
    }
}
