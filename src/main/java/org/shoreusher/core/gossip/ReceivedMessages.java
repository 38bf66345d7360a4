package org.shoreusher.core.gossip;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.Collection;
import java.util.Optional;
import org.shoreusher.core.message.GossipMessage;

/** The last message of each peer, and when it was received. */
final class ReceivedMessages {
    /**
     * A message of a peer.
     *
     * @param message the message
     * @param receivedAtMs when it was received; monotonic ms
     */
    record Received(GossipMessage message, long receivedAtMs) {
        /** Whether the message is recent enough to be used. */
        boolean isFresh(long nowMs) {
            return nowMs - receivedAtMs < GossipConstants.MAX_GOSSIP_AGE_MS;
        }

        /** Whether the message is recent, and its sender reaches the store. */
        boolean isFromUsableNode(long nowMs) {
            return isFresh(nowMs) && message.storeReachable();
        }
    }

    private final Object2ObjectOpenHashMap<String, Received> lastByHost =
            new Object2ObjectOpenHashMap<>();

    /** Keeps a message in place of the sender's message before. */
    void put(GossipMessage message, long nowMs) {
        lastByHost.put(message.senderHost(), new Received(message, nowMs));
    }

    /** The last message of a host, if there is one. */
    Optional<Received> lastOf(String host) {
        return Optional.ofNullable(lastByHost.get(host));
    }

    /** The last message of each peer; a live view. */
    Collection<Received> all() {
        return lastByHost.values();
    }

    /** Whether a host has sent a message lately enough for it to be used. */
    boolean isFresh(String host, long nowMs) {
        Received last = lastByHost.get(host);
        return last != null && last.isFresh(nowMs);
    }
}
