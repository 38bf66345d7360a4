package org.shoreusher.log;

import java.util.Locale;

/** The types of log events. {@code docs/operations.md} explains each of them to operators. */
public enum LogEventType {
    /** The node accepts connections. */
    NODE_LISTENING,
    /** This node has become the leader of a shard. */
    SHARD_ACQUIRED,
    /** The leader has determined for every task of a shard whether and where it runs. */
    SHARD_RECONCILED,
    /** A leader's lease has expired because it was not renewed in time. */
    LEASE_EXPIRED,
    /** A leader has renewed its lease after the expiry; no other node had acquired the shard. */
    LEASE_RECOVERED,
    /** This node is no longer the leader of a shard. */
    LEADERSHIP_LOST,
    /** A leader has raised its term because a worker had received a higher fencing token. */
    TERM_RAISED,
    /** The key-value store sent a reply that is not valid. */
    STORE_REPLY_INVALID,
    /** The cloud sent a reply that is not valid. */
    CLOUD_REPLY_INVALID,
    /** An idle machine has been handed over to another shard. */
    MACHINE_HANDED_OVER,
    /** A worker's lease has certainly expired; its tasks are pending again. */
    WORKER_LEASE_EXPIRED,
    /** A machine no longer exists. */
    MACHINE_REMOVED,
    /** A machine receives no more tasks and is drained. */
    MACHINE_CORDONED,
    /** A shard has adopted a machine that the cloud lists and no record names. */
    MACHINE_ADOPTED,
    /** The cloud has provisioned machines. */
    MACHINES_PROVISIONED,
    /** The cloud has rejected a request for machines as malformed. */
    PROVISION_REJECTED,
    /** All members support services, which are accepted from now on. */
    SERVICES_ENABLED,
    /** Services are rejected until the named members run this version. */
    SERVICES_DISABLED,
    /** A running task is to be migrated, and is being stopped. */
    MIGRATION_STARTED,
    /** A migrated task is being started on its target. */
    MIGRATION_COMPLETED,
    /** A migration has ended without a start on the target. */
    MIGRATION_ABANDONED,
    /** A task that was to be migrated completed before it was stopped. */
    MIGRATION_OBSOLETE,
    /** A standby's attempt log contains every attempt that may be on a machine. */
    STANDBY_IN_SYNC,
    /** A leader no longer replicates to a standby. */
    STANDBY_ABANDONED,
    /** A new leader continues from the attempt log that was replicated to it. */
    ATTEMPT_LOG_PROMOTED,
    /** A new leader has no usable attempt log and reconciles from heartbeats. */
    ATTEMPT_LOG_REJECTED,
    /** A worker reports an attempt that is not in the promoted attempt log; must never happen. */
    ATTEMPT_LOG_CONTRADICTED,
    /** A request was rejected since a leader may not know of the job's cancellation yet. */
    CANCELLATION_NOT_PROPAGATED,
    /** A connection was closed because another node sent a message that is not valid. */
    PEER_MESSAGE_INVALID,
    /** A command or an effect failed with an exception; a fault of the program. */
    INTERNAL_ERROR,
    /** Machines, CPUs and pending tasks of a shard. */
    SHARD_STATUS(true),
    /** Connections and memory of the process. */
    PROCESS_STATUS(true),
    /** How long users waited for responses. */
    REQUEST_LATENCY(true),
    /** Migrations of the balancer, their cost, and the skew of the teams. */
    MIGRATION_STATISTICS(true),
    /** How long starts waited for the standby's acknowledgement. */
    STANDBY_STATISTICS(true),
    /** Messages that this node has sent to its standby, and as a standby. */
    STANDBY_TRAFFIC(true);

    private final boolean debugOnly;

    LogEventType() {
        this(false);
    }

    LogEventType(boolean debugOnly) {
        this.debugOnly = debugOnly;
    }

    /** Returns whether the event is logged at the debug level only. */
    public boolean isDebugOnly() {
        return debugOnly;
    }

    /** Returns the name in the log, for example {@code shard_acquired}. */
    public String eventName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
