package org.shoreusher.wire;

/** Constants of the wire formats, each with its unit and the reason for its value. */
final class WireConstants {
    private WireConstants() {}

    /**
     * Entries per page of the store's keys or the cloud's machines. The protocol allows at most
     * 1,000 keys and 500 machines.
     */
    public static final int PAGE_ENTRIES = 500;

    /** Levels of nesting; deeper messages are rejected. Messages of the protocol have at most 5. */
    public static final int MAX_NESTING_DEPTH = 32;
}
