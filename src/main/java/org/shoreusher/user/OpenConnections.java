package org.shoreusher.user;

import io.netty.channel.Channel;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;

/**
 * The open connections of clients, ordered by their last request. When all sockets are in use, the
 * least recently used connection is closed. After a network partition, up to half of the machines
 * may have left dead connections that still look open; if new connections were rejected instead, no
 * reachable client could connect.
 */
final class OpenConnections {
    private final ObjectLinkedOpenHashSet<Channel> leastRecentFirst =
            new ObjectLinkedOpenHashSet<>();
    private final int maxConnections;

    OpenConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Adds a new connection, and closes the least recently used one if there are too many. */
    void add(Channel channel) {
        if (leastRecentFirst.size() >= maxConnections) {
            leastRecentFirst.removeFirst().close();
        }
        markUsed(channel);
    }

    /** Marks a connection as the most recently used one. */
    void markUsed(Channel channel) {
        leastRecentFirst.addAndMoveToLast(channel);
    }

    /** Removes a connection that has been closed. */
    void remove(Channel channel) {
        leastRecentFirst.remove(channel);
    }

    /** Number of open connections. */
    int count() {
        return leastRecentFirst.size();
    }
}
