package org.shoreusher.standby;

/** What an owner and its standby send each other. */
public sealed interface StandbyMessage permits LogFrame, LogAcknowledgement {
    /** The stream that the message belongs to. */
    LogStream stream();
}
