package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;

/** Describes the state of a shard for operators. */
final class ShardStatus {
    private ShardStatus() {}

    /**
     * Returns the event for the log: machines by state, CPUs in use, and tasks waiting by job
     * class.
     *
     * @param shard the shard
     * @param keysInMemory the number of keys in the store cache
     */
    static LogEvent statusEvent(Shard shard, int keysInMemory) {
        int[] machinesByState = new int[Machine.State.values().length];
        double usedCpus = 0;
        for (Machine machine : shard.state().machines().values()) {
            machinesByState[machine.state().ordinal()]++;
            usedCpus += machine.resources().cpusUsed();
        }
        Object2IntOpenHashMap<String> waitingByClass = new Object2IntOpenHashMap<>();
        shard.state()
                .jobs()
                .values()
                .forEach(job -> waitingByClass.addTo(job.spec().jobClass(), job.pendingCount()));
        int booting = machinesByState[Machine.State.BOOTING.ordinal()];
        int up = machinesByState[Machine.State.UP.ordinal()];
        return LogEvent.of(LogEventType.SHARD_STATUS)
                .with("shard", shard.state().shardNumber())
                .with("term", shard.authority().term())
                .with("machines_booting", booting)
                .with("machines_up", up)
                .with("machines_leaving", shard.state().machines().size() - booting - up)
                .with("cpus_used", usedCpus)
                .with("cpus_total", shard.state().totalCpus())
                .with("jobs", shard.state().jobs().size())
                .with("tasks_waiting", waitingByClass)
                .with("keys_in_memory", keysInMemory);
    }
}
