package org.shoreusher.core;

import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.machine.MachineIndex;
import org.shoreusher.core.machine.MachineTypeCatalog;
import org.shoreusher.core.store.Outbox;
import org.shoreusher.core.store.StoreCache;
import org.shoreusher.core.store.VersionNegotiation;
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
public record NodeContext(
        Settings settings,
        Features features,
        Outbox outbox,
        StoreCache storeCache,
        SubmissionBatches submissionBatches,
        MachineIndex machineIndex,
        MachineTypeCatalog machineTypes,
        VersionNegotiation versionNegotiation) {}
