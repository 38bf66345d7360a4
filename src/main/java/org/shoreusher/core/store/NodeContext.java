package org.shoreusher.core.store;

import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;

/**
 * The objects that all parts of a node share, independent of the shards that it leads.
 *
 * @param settings the deployment's settings
 * @param features the optional features that this node uses
 * @param outbox collects effects, and tracks calls to the store and to the cloud
 * @param storeCache the cached copy of the key-value store
 * @param versionNegotiation determines which stored formats every member supports
 */
public record NodeContext(
        Settings settings,
        Features features,
        Outbox outbox,
        StoreCache storeCache,
        VersionNegotiation versionNegotiation) {}
