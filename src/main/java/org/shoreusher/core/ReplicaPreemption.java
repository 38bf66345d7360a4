package org.shoreusher.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.shoreusher.settings.Tuning;

/**
 * Selects batch tasks of lower priority that are preempted at once, without a grace period, on
 * machines where waiting replicas of services then fit. A replica serves users, so it cannot wait
 * until a task has written a checkpoint or finished, nor until a machine has booted.
 */
final class ReplicaPreemption {
    /** The capacity that a machine has free, or will have when its stopping tasks have exited. */
    private static final class Room {
        final Machine machine;
        double cpus;
        double gpus;
        double mem;
        final List<TaskAttempt> victims = new ArrayList<>();

        Room(Machine machine) {
            this.machine = machine;
            cpus = machine.cpusFree();
            gpus = machine.gpusFree();
            mem = machine.memGbFree();
        }

        void freed(JobSpec spec) {
            cpus += spec.cpus();
            gpus += spec.gpus();
            mem += spec.memGb();
        }

        void taken(JobSpec spec) {
            cpus -= spec.cpus();
            gpus -= spec.gpus();
            mem -= spec.memGb();
        }

        boolean fits(JobSpec spec, double moreCpus, double moreGpus, double moreMem) {
            return cpus + moreCpus + Tuning.EPSILON >= spec.cpus()
                    && gpus + moreGpus + Tuning.EPSILON >= spec.gpus()
                    && mem + moreMem + Tuning.EPSILON >= spec.memGb();
        }
    }

    private final Part part;
    private final ClockReading now;
    private final List<Room> rooms = new ArrayList<>();

    /**
     * Collects the batch tasks on every machine that accepts work, those with the least lost work
     * first.
     */
    ReplicaPreemption(Part part, ClockReading now) {
        this.part = part;
        this.now = now;
        for (Machine m : part.machines().values()) {
            if (part.isAvailable(m)) {
                Room room = new Room(m);
                for (TaskAttempt live : m.tasks.values()) {
                    if (live.mustStop || live.stopping) {
                        room.freed(live.job.spec);
                    } else if (live.job.spec.shape().ends()) {
                        room.victims.add(live);
                    }
                }
                room.victims.sort(
                        Comparator.comparingDouble(this::loss)
                                .thenComparing(l -> l.job.id)
                                .thenComparingInt(l -> l.index));
                rooms.add(room);
            }
        }
        rooms.sort(Comparator.comparing(r -> r.machine.id));
    }

    /**
     * Returns the CPU-seconds lost if the task is stopped: the work since its last checkpoint, plus
     * a penalty if its start would not yet count for the objectives.
     */
    private double loss(TaskAttempt live) {
        double ranS =
                live.runningSinceMs < 0 ? 0 : (now.monotonicMs() - live.runningSinceMs) / 1000.0;
        double lostS =
                live.job.spec.checkpointS() > 0
                        ? Math.min(ranS, live.job.spec.checkpointS())
                        : ranS;
        double early =
                now.monotonicMs() - live.sinceMs < Tuning.START_COUNTS_MS
                        ? Tuning.START_COUNTS_MS / 1000.0
                        : 0;
        return live.job.spec.cpus() * (lostS + early);
    }

    /**
     * Selects the tasks to stop so that the waiting replicas of these services, given in scheduling
     * order, fit.
     */
    List<TaskAttempt> choose(List<Job> services) {
        List<TaskAttempt> chosen = new ArrayList<>();
        for (Job job : services) {
            JobSpec spec = job.spec;
            Planner.ZoneRule zones = new Planner.ZoneRule(job);
            int left =
                    Math.min(
                            job.waitingCount,
                            new Planner(
                                            new ArrayList<>(),
                                            part.quotaHeadroom()::cpusLeft,
                                            part.quotaHeadroom()::gpusLeft)
                                    .allowedByTeam(spec));
            while (left-- > 0) {
                Room best = null;
                List<TaskAttempt> least = null;
                double leastLoss = Double.MAX_VALUE;
                for (Room room : rooms) {
                    Machine m = room.machine;
                    if (!spec.allows(m.type.name(), m.zone, m.spot)
                            || zones.room(m.zone) <= 0
                            || job.failedOn.contains(m.id)) {
                        continue;
                    }
                    List<TaskAttempt> victims = victims(room, spec);
                    double fetchS =
                            m.cachedImages.contains(spec.image())
                                    ? 0
                                    : spec.imageGb()
                                            / Math.max(
                                                    Tuning.LEAST_FETCH, m.type.imageFetchGbPerS());
                    double loss =
                            victims == null
                                    ? Double.MAX_VALUE
                                    : victims.stream().mapToDouble(this::loss).sum()
                                            + spec.cpus() * fetchS;
                    if (loss < leastLoss) {
                        best = room;
                        least = victims;
                        leastLoss = loss;
                    }
                }
                if (best == null) {
                    break;
                }
                for (TaskAttempt live : least) {
                    best.victims.remove(live);
                    best.freed(live.job.spec);
                }
                best.taken(spec);
                zones.add(best.machine.zone, 1);
                chosen.addAll(least);
            }
        }
        return chosen;
    }

    /**
     * Returns the tasks to stop on a machine so that one replica fits, least lost work first; null
     * if it would still not fit.
     */
    private static List<TaskAttempt> victims(Room room, JobSpec spec) {
        List<TaskAttempt> victims = new ArrayList<>();
        double cpus = 0;
        double gpus = 0;
        double mem = 0;
        for (TaskAttempt live : room.victims) {
            if (room.fits(spec, cpus, gpus, mem)) {
                break;
            }
            if (live.job.spec.priority().compareTo(spec.priority()) > 0) {
                victims.add(live);
                cpus += live.job.spec.cpus();
                gpus += live.job.spec.gpus();
                mem += live.job.spec.memGb();
            }
        }
        return room.fits(spec, cpus, gpus, mem) ? victims : null;
    }
}
