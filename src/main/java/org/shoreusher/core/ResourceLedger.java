package org.shoreusher.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.List;

/**
 * Books every task of a part that is or may be on a machine: in its machine's room, in its team's
 * use, and in its job. A task is waiting, live or finished, and only {@link #remove} lets a live
 * one wait again.
 */
final class ResourceLedger {
    /** Is told of every task that is booked. */
    interface Listener {
        /** A task is or may be on its machine from now on. */
        void added(TaskAttempt live);

        /** A task is surely not on its machine any more. */
        void removed(TaskAttempt live);
    }

    private final List<Listener> listeners = new ArrayList<>();
    private final Object2DoubleOpenHashMap<String> teamCpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> teamGpus = new Object2DoubleOpenHashMap<>();

    /** What was found on machines of an owner before, when each was first heard. */
    private final Object2DoubleOpenHashMap<String> foundCpus = new Object2DoubleOpenHashMap<>();

    private final Object2DoubleOpenHashMap<String> foundGpus = new Object2DoubleOpenHashMap<>();

    /** Tells this listener too from now on. */
    void listen(Listener listener) {
        listeners.add(listener);
    }

    /** Holds room in the team's use for a task that is on no machine just now. */
    void hold(JobSpec spec) {
        teamCpus.addTo(spec.team(), spec.cpus());
        teamGpus.addTo(spec.team(), spec.gpus());
    }

    /** Gives back what {@link #hold} has taken. */
    void letGo(JobSpec spec) {
        teamCpus.addTo(spec.team(), -spec.cpus());
        teamGpus.addTo(spec.team(), -spec.gpus());
    }

    /** An owner before has started this task, and a report made since the takeover shows it. */
    void found(TaskAttempt live) {
        foundCpus.addTo(live.job.spec.team(), live.job.spec.cpus());
        foundGpus.addTo(live.job.spec.team(), live.job.spec.gpus());
    }

    double foundCpus(String team) {
        return foundCpus.getDouble(team);
    }

    double foundGpus(String team) {
        return foundGpus.getDouble(team);
    }

    double cpus(String team) {
        return teamCpus.getDouble(team);
    }

    double gpus(String team) {
        return teamGpus.getDouble(team);
    }

    /** A task is or may be on its machine from now on. {@code placed}: its job wants it there. */
    void add(TaskAttempt live, boolean placed) {
        JobSpec spec = live.job.spec;
        live.machine.tasks.put(Machine.taskKey(live.job.id, live.index), live);
        live.machine.cpusUsed += spec.cpus();
        live.machine.gpusUsed += spec.gpus();
        live.machine.memUsed += spec.memGb();
        live.machine.images.add(spec.image());
        live.machine.idleSinceMs = -1;
        hold(spec);
        if (placed) {
            live.job.live.put(live.index, live);
            live.job.setWaiting(live.index, false);
        }
        listeners.forEach(listener -> listener.added(live));
    }

    /**
     * The task is surely not on its machine any more; it waits again unless it is finished. That
     * holds during a rebuild as well: a task is or may be on one machine at most, so one that has
     * been seen on this one is on none that is yet silent.
     */
    void remove(TaskAttempt live) {
        Machine m = live.machine;
        JobSpec spec = live.job.spec;
        if (!m.tasks.remove(Machine.taskKey(live.job.id, live.index), live)) {
            return;
        }
        m.cpusUsed = m.tasks.isEmpty() ? 0 : m.cpusUsed - spec.cpus();
        m.gpusUsed = m.tasks.isEmpty() ? 0 : m.gpusUsed - spec.gpus();
        m.memUsed = m.tasks.isEmpty() ? 0 : m.memUsed - spec.memGb();
        letGo(spec);
        Job job = live.job;
        if (job.live.get(live.index) == live) {
            job.live.remove(live.index);
            if (!job.closed && !job.done.get(live.index)) {
                job.setWaiting(live.index, true);
            }
        }
        listeners.forEach(listener -> listener.removed(live));
    }
}
