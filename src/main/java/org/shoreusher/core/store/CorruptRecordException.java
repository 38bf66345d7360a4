package org.shoreusher.core.store;

import java.util.Map;

/**
 * A record in the key-value store does not have the form in which this service writes it. Only this
 * service writes its keys, so the fault is in the program or in what an operator has changed.
 */
final class CorruptRecordException extends IllegalStateException {
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
                        + " in the key-value store can't be read: "
                        + cause.getMessage()
                        + "; its fields are "
                        + value.keySet(),
                cause);
    }
}
