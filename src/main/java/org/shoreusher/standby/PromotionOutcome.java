package org.shoreusher.standby;

/**
 * Whether a new leader can use its replicated log, or why it has to reconcile from heartbeats
 * instead.
 */
public enum PromotionOutcome {
    /** The log holds every attempt that may be on a machine. */
    IN_SYNC("in sync"),
    /** The shard record that the failover replaced named no standby, or another process. */
    NOT_NAMED("the record does not name this process"),
    /** No frame was ever received. */
    NO_LOG("there is no log"),
    /** The log is from another leader or another term. */
    TERM_MISMATCH("the log is of another term"),
    /** The snapshot was not received completely. */
    SNAPSHOT_INCOMPLETE("the snapshot is incomplete"),
    /** The log had a gap, too many attempts, or a checksum mismatch. */
    LOG_INCONSISTENT("the log is broken"),
    /** The log names a machine of the shard whose machine type is unknown. */
    UNKNOWN_MACHINE("the log names a machine of unknown type"),
    /** A worker's heartbeat showed an attempt of a previous leader that the log lacks. */
    CONTRADICTED_BY_HEARTBEAT("a report contradicts the log");

    private final String reason;

    PromotionOutcome(String reason) {
        this.reason = reason;
    }

    /** The outcome in words, for the operators' log. */
    public String reason() {
        return reason;
    }
}
