package org.shoreusher.standby;

/** A message between a shard's leader and its standby. */
public sealed interface StandbyMessage permits LogFrame, LogAcknowledgement {
    /** The stream that the message belongs to. */
    LogStream stream();
}
