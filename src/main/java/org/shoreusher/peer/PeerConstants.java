package org.shoreusher.peer;

/** Constants of the messages between nodes, each with its unit and the reason for its value. */
final class PeerConstants {
    private PeerConstants() {}

    /** Bytes; longer gossip and standby messages are rejected. */
    public static final int MAX_PEER_MESSAGE_BYTES = 256 * 1024;

    /** Bytes; initial size of the buffer for a message to a peer. */
    public static final int PEER_MESSAGE_BUFFER_BYTES = 512;

    /**
     * Entries; a list or map in a peer's message with a higher count is rejected before its entries
     * are decoded.
     */
    public static final int MAX_PEER_MESSAGE_ENTRIES = 10_000;

    /** Bytes of the length prefix of each frame. */
    public static final int LENGTH_PREFIX_BYTES = 4;
}
