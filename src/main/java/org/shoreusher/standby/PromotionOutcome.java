package org.shoreusher.standby;

/** Whether a taker may start work from its log, or why it has to learn everything anew. */
public enum PromotionOutcome {
    /** The log holds every attempt that may be on a machine. */
    IN_SYNC("in sync"),
    /** The record that the takeover replaced named no standby, or another process. */
    NOT_NAMED("the record does not name this process"),
    /** No frame has ever come. */
    NO_LOG("there is no log"),
    /** The log is of another owner or another term. */
    OTHER_TERM("the log is of another term"),
    /** The snapshot had not arrived whole. */
    INCOMPLETE("the snapshot is incomplete"),
    /** The log had a gap, was too large, or did not agree with a checkpoint. */
    BROKEN("the log is broken"),
    /** The log names a machine of the part whose type nobody knows. */
    UNKNOWN_MACHINE("the log names a machine of unknown type"),
    /** A worker showed an attempt that the log does not know. */
    CONTRADICTED("a report contradicts the log");

    private final String reason;

    PromotionOutcome(String reason) {
        this.reason = reason;
    }

    /** The outcome in words, for log lines. */
    public String reason() {
        return reason;
    }
}
