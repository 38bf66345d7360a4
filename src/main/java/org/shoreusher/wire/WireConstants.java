package org.shoreusher.wire;

/** Constants of the wire formats, each with its unit and the reason for its value. */
final class WireConstants {
    private WireConstants() {}

    /**
     * Entries per page when the store or the cloud's inventory is read. The protocol's limits are
     * 1,000 and 500.
     */
    public static final int PAGE_ENTRIES = 500;

    /** Levels of nesting; deeper messages are rejected. The protocol's messages have 5 at most. */
    public static final int MAX_NESTING_DEPTH = 32;
}
