package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;

/** Builds the log event that shows operators the state of a shard. */
final class ShardStatus {
    private ShardStatus() {}

    /**
     * Returns the event with the machines by state, the CPUs in use, and the pending tasks by job
     * class.
     *
     * @param keysInMemory the number of keys in the store cache
     */
    static LogEvent statusEvent(Shard shard, int keysInMemory) {
        int[] machinesByState = new int[Machine.State.values().length];
        double usedCpus = 0;
        for (Machine machine : shard.state().machines().values()) {
            machinesByState[machine.state().ordinal()]++;
            usedCpus += machine.resources().cpusUsed();
        }
        Object2IntOpenHashMap<String> pendingTasksByClass = new Object2IntOpenHashMap<>();
        shard.state()
                .jobs()
                .values()
                .forEach(
                        job ->
                                pendingTasksByClass.addTo(
                                        job.spec().jobClass(), job.pendingCount()));
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
                .with("tasks_waiting", pendingTasksByClass)
                .with("keys_in_memory", keysInMemory);
    }
}
