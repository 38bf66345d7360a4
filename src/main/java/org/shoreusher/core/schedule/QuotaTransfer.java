package org.shoreusher.core.schedule;

import org.shoreusher.core.store.QuotaRecord;

/**
 * A write that transfers a part of this shard's share of a team's quota to another shard.
 *
 * @param version the version of the quota record that is the precondition of the write
 * @param shares the shares of all shards after the write
 */
record QuotaTransfer(long version, QuotaRecord shares) {
    /**
     * Returns a transfer of CPUs and of the same fraction of the GPUs, rounded down to whole GPUs.
     *
     * @param version version of the stored record
     * @param stored the stored record
     * @param from number of the shard whose share is lowered
     * @param to number of the shard whose share is raised
     * @param cpuCount CPUs to transfer
     */
    static QuotaTransfer of(long version, QuotaRecord stored, int from, int to, double cpuCount) {
        double[] cpus = stored.cpus().clone();
        double[] gpus = stored.gpus().clone();
        double gpuCount = cpus[from] <= 0 ? 0 : Math.floor(gpus[from] * cpuCount / cpus[from]);
        cpus[from] -= cpuCount;
        cpus[to] += cpuCount;
        gpus[from] -= gpuCount;
        gpus[to] += gpuCount;
        return new QuotaTransfer(version, new QuotaRecord(cpus, gpus));
    }
}
