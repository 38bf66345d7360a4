package org.shoreusher.core;

import org.shoreusher.settings.Features;
import org.shoreusher.settings.Settings;

/**
 * The collaborators that all classes of a node share, whichever shards the node leads.
 *
 * @param settings the deployment's settings
 * @param features the optional features that this node uses
 * @param outbox collects effects, and tracks calls to the store and to the cloud
 * @param storeCache the cached contents of the key-value store
 * @param submissionBatches jobs that were accepted together and share a stored record
 * @param machineIndex the machine records of all shards, by machine
 * @param machineTypes the machine types that the cloud offers
 * @param versionNegotiation the stored formats that every member supports
 */
record NodeContext(
        Settings settings,
        Features features,
        Outbox outbox,
        StoreView storeCache,
        Arrivals submissionBatches,
        MachineIndex machineIndex,
        MachineTypes machineTypes,
        MemberFormats versionNegotiation) {}
