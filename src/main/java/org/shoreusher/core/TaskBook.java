package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/**
 * Books every task of a part that is or may be on a machine: in its machine's room, in its team's use, and in its job.
 * A task is waiting, live or finished, and only {@link #remove} lets a live one wait again.
 */
final class TaskBook {
    private final Object2DoubleOpenHashMap<String> teamCpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> teamGpus = new Object2DoubleOpenHashMap<>();
    /** Whether all machines have been heard, so that a task that is on none may wait. */
    private boolean complete;

    void complete() {
        complete = true;
    }

    double cpus(String team) {
        return teamCpus.getDouble(team);
    }

    double gpus(String team) {
        return teamGpus.getDouble(team);
    }

    /** A task is or may be on its machine from now on. {@code placed}: its job wants it there. */
    void add(Live live, boolean placed) {
        JobSpec spec = live.job.spec;
        live.machine.tasks.put(Machine.taskKey(live.job.id, live.index), live);
        live.machine.cpusUsed += spec.cpus();
        live.machine.gpusUsed += spec.gpus();
        live.machine.memUsed += spec.memGb();
        live.machine.images.add(spec.image());
        live.machine.idleSinceMs = -1;
        teamCpus.addTo(spec.team(), spec.cpus());
        teamGpus.addTo(spec.team(), spec.gpus());
        if (placed) {
            live.job.live.put(live.index, live);
            live.job.setWaiting(live.index, false);
        }
    }

    /** The task is surely not on its machine any more; it waits again unless it is finished. */
    void remove(Live live) {
        Machine m = live.machine;
        JobSpec spec = live.job.spec;
        if (!m.tasks.remove(Machine.taskKey(live.job.id, live.index), live)) {
            return;
        }
        m.cpusUsed = m.tasks.isEmpty() ? 0 : m.cpusUsed - spec.cpus();
        m.gpusUsed = m.tasks.isEmpty() ? 0 : m.gpusUsed - spec.gpus();
        m.memUsed = m.tasks.isEmpty() ? 0 : m.memUsed - spec.memGb();
        teamCpus.addTo(spec.team(), -spec.cpus());
        teamGpus.addTo(spec.team(), -spec.gpus());
        Job job = live.job;
        if (job.live.get(live.index) == live) {
            job.live.remove(live.index);
            if (!job.closed && !job.done.get(live.index) && complete) {
                job.setWaiting(live.index, true);
            }
        }
    }
}
