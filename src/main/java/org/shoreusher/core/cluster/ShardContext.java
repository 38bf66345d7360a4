package org.shoreusher.core.cluster;

import org.shoreusher.core.leadership.ShardAuthority;
import org.shoreusher.core.store.NodeContext;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.settings.Settings;

/**
 * The objects that all parts of one shard share.
 *
 * @param nodeContext the objects that all parts of the node share
 * @param state the shard's jobs and machines
 * @param authority the checks of what this node may currently do as the shard's leader
 */
public record ShardContext(NodeContext nodeContext, ShardState state, ShardAuthority authority) {
    /** The deployment's settings. */
    public Settings settings() {
        return nodeContext.settings();
    }

    /** Collects effects, and tracks calls to the store and to the cloud. */
    public Outbox outbox() {
        return nodeContext.outbox();
    }
}
