package org.shoreusher.core.store;

import java.util.Map;

/**
 * A record in the key-value store does not have the format in which this service writes it. Only
 * this service writes its keys, so the cause is a bug or a manual change by an operator.
 */
public final class CorruptRecordException extends IllegalStateException {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param recordKind what the record is, for example "a job record"
     * @param value the stored fields; their names are reported, their values are not
     * @param cause what is missing or of the wrong type
     */
    CorruptRecordException(String recordKind, Map<String, Object> value, Exception cause) {
        super(
                recordKind
                        + " in the key-value store cannot be parsed: "
                        + cause.getMessage()
                        + "; its fields are "
                        + value.keySet(),
                cause);
    }
}
