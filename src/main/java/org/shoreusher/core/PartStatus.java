package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;

/** Describes the state of a shard for operators. */
final class PartStatus {
    private PartStatus() {}

    /**
     * Returns one line for the log: machines by state, CPUs in use, and tasks waiting by job class.
     *
     * @param part the shard
     * @param keys the number of keys in the store cache
     */
    static String line(Part part, int keys) {
        int[] states = new int[Machine.State.values().length];
        double used = 0;
        for (Machine m : part.machines().values()) {
            states[m.state.ordinal()]++;
            used += m.cpusUsed;
        }
        Object2IntOpenHashMap<String> waiting = new Object2IntOpenHashMap<>();
        part.jobs().values().forEach(j -> waiting.addTo(j.spec.jobClass(), j.waitingCount));
        return "status: part "
                + part.number
                + " term "
                + part.term()
                + ", machines "
                + states[0]
                + " booting "
                + states[1]
                + " up "
                + (states[2] + states[3] + states[4])
                + " leaving, CPUs "
                + used
                + " of "
                + part.cpus()
                + ", "
                + part.jobs().size()
                + " jobs, waiting "
                + waiting
                + ", "
                + keys
                + " keys in memory";
    }
}
