package org.shoreusher.core.gossip;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Collection;
import java.util.Optional;
import org.shoreusher.core.message.GossipMessage;

/** The last message of each peer, and when it was received. */
final class ReceivedMessages {
    /**
     * A message from a peer.
     *
     * @param message the message
     * @param receivedAtMs when it was received; monotonic ms
     */
    record PeerMessage(GossipMessage message, long receivedAtMs) {
        /** Whether the message is recent enough to be used. */
        boolean isFresh(long nowMs) {
            return nowMs - receivedAtMs < GossipConstants.MAX_GOSSIP_AGE_MS;
        }

        /** Whether the message is recent enough to be used, and its sender can reach the store. */
        boolean isFreshAndStoreReachable(long nowMs) {
            return isFresh(nowMs) && message.storeReachable();
        }
    }

    private final Object2ObjectOpenHashMap<String, PeerMessage> lastByHost =
            new Object2ObjectOpenHashMap<>();

    /** Replaces the sender's previous message; returns the new one. */
    PeerMessage put(GossipMessage message, long nowMs) {
        PeerMessage received = new PeerMessage(message, nowMs);
        lastByHost.put(message.senderHost(), received);
        return received;
    }

    /** The last message of a host; empty if there is none. */
    Optional<PeerMessage> lastOf(String host) {
        return Optional.ofNullable(lastByHost.get(host));
    }

    /** The last message of each peer; a live view. */
    Collection<PeerMessage> all() {
        return lastByHost.values();
    }

    /** Whether the last message of a host is recent enough to be used. */
    boolean isFresh(String host, long nowMs) {
        PeerMessage last = lastByHost.get(host);
        return last != null && last.isFresh(nowMs);
    }
}
