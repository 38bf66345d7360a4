package org.shoreusher.wire;

/** A message cannot be encoded because it contains a value that its format does not allow. */
public final class MessageEncodingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MessageEncodingException(String format, Throwable cause) {
        super("cannot encode a message as " + format + ": " + cause.getMessage(), cause);
    }
}
