package org.shoreusher.core.store;

import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;

/**
 * The collaborators that all classes of a node share, whichever shards the node leads.
 *
 * @param settings the deployment's settings
 * @param features the optional features that this node uses
 * @param outbox collects effects, and tracks calls to the store and to the cloud
 * @param storeCache the cached contents of the key-value store
 * @param versionNegotiation the stored formats that every member supports
 */
public record NodeContext(
        Settings settings,
        Features features,
        Outbox outbox,
        StoreCache storeCache,
        VersionNegotiation versionNegotiation) {}
