package org.shoreusher.core;

import org.shoreusher.core.job.SubmissionBatches;
import org.shoreusher.core.machine.MachineIndex;
import org.shoreusher.core.machine.MachineTypeCatalog;
import org.shoreusher.core.store.NodeContext;

/**
 * The objects that a node's shards share.
 *
 * @param context the objects that all parts of the node share, such as the store cache
 * @param submissionBatches the jobs that were accepted together and share a stored record
 * @param machineIndex the machine records of all shards, by machine id
 * @param typeCatalog the catalog of machine types that the cloud offers
 */
record NodeServices(
        NodeContext context,
        SubmissionBatches submissionBatches,
        MachineIndex machineIndex,
        MachineTypeCatalog typeCatalog) {}
