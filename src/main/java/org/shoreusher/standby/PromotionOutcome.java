package org.shoreusher.standby;

/** Whether a new leader can use its replicated log, or why it has to reconcile from heartbeats. */
public enum PromotionOutcome {
    /** The log holds every attempt that may be on a machine. */
    IN_SYNC,
    /** The shard record that the failover replaced named no standby, or another process. */
    NOT_NAMED,
    /** No frame was received. */
    NO_LOG,
    /** The log is from another leader or another term. */
    TERM_MISMATCH,
    /** The snapshot was not received completely. */
    SNAPSHOT_INCOMPLETE,
    /** The log had a gap, too many attempts, or a checksum mismatch. */
    LOG_INCONSISTENT,
    /** The log names a machine of the shard whose machine type is unknown. */
    UNKNOWN_MACHINE,
    /** A worker's heartbeat showed an attempt of a previous leader that the log lacks. */
    CONTRADICTED_BY_HEARTBEAT
}
