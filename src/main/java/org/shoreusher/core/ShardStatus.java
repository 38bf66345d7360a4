package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import org.shoreusher.core.cluster.Machine;

/** Describes the state of a shard for operators. */
final class ShardStatus {
    private ShardStatus() {}

    /**
     * Returns one line for the log: machines by state, CPUs in use, and tasks waiting by job class.
     *
     * @param shard the shard
     * @param keysInMemory the number of keys in the store cache
     */
    static String statusLine(Shard shard, int keysInMemory) {
        int[] machinesByState = new int[Machine.State.values().length];
        double usedCpus = 0;
        for (Machine machine : shard.state().machines().values()) {
            machinesByState[machine.state.ordinal()]++;
            usedCpus += machine.cpusUsed;
        }
        Object2IntOpenHashMap<String> waitingByClass = new Object2IntOpenHashMap<>();
        shard.jobs()
                .values()
                .forEach(job -> waitingByClass.addTo(job.spec.jobClass(), job.pendingCount));
        return "status: part "
                + shard.state().shardNumber()
                + " term "
                + shard.authority().term()
                + ", machines "
                + machinesByState[0]
                + " booting "
                + machinesByState[1]
                + " up "
                + (machinesByState[2] + machinesByState[3] + machinesByState[4])
                + " leaving, CPUs "
                + usedCpus
                + " of "
                + shard.state().totalCpus()
                + ", "
                + shard.jobs().size()
                + " jobs, waiting "
                + waitingByClass
                + ", "
                + keysInMemory
                + " keys in memory";
    }
}
