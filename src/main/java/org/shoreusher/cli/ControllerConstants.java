package org.shoreusher.cli;

/** Constants of the event loop, each with its unit and the reason for its value. */
public final class ControllerConstants {
    private ControllerConstants() {}

    /** Number of shards. The code supports any number; docs/design.md has the figures behind 1. */
    public static final int SHARD_COUNT = 1;

    /**
     * Minimum capacity of the core's command queue; when the queue is full, requests are rejected.
     * A larger socket limit is used as the capacity instead, since each connection has at most one
     * pending request.
     */
    public static final int MIN_COMMAND_QUEUE_CAPACITY = 4_096;

    /** Commands per batch; bounds the time between two clock readings. */
    public static final int MAX_COMMANDS_PER_BATCH = 64;

    /** ms; interval of the core's tick. */
    public static final long TICK_INTERVAL_MS = 50;
}
