package org.shoreusher.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.cluster.TaskAttempt;
import org.shoreusher.core.message.JobSpec;

/**
 * The capacity of a machine that is free now or will be when the tasks that are being stopped there
 * have exited.
 */
final class ProspectiveCapacity {
    private final Machine machine;
    private double freeCpus;
    private double freeGpus;
    private double freeMemGb;

    /** Batch tasks on the machine that are not being stopped, in preemption order. */
    private final List<TaskAttempt> preemptible = new ArrayList<>();

    /**
     * Collects the free capacity and the batch tasks of a machine.
     *
     * @param preemptionOrder the order in which tasks are preempted
     */
    ProspectiveCapacity(Machine machine, Comparator<TaskAttempt> preemptionOrder) {
        this.machine = machine;
        freeCpus = machine.resources().cpusFree();
        freeGpus = machine.resources().gpusFree();
        freeMemGb = machine.resources().memGbFree();
        for (TaskAttempt attempt : machine.attempts().values()) {
            if (attempt.mustStop() || attempt.isBeingEvicted()) {
                release(attempt.job().spec());
            } else if (attempt.job().spec().workloadType().runsToCompletion()) {
                preemptible.add(attempt);
            }
        }
        preemptible.sort(preemptionOrder);
    }

    Machine machine() {
        return machine;
    }

    /**
     * Returns the tasks of lower priority to preempt so that one task of the job fits, in
     * preemption order: an empty list if it fits already, an empty Optional if it would not fit
     * even without all of them.
     */
    Optional<List<TaskAttempt>> selectVictims(JobSpec spec) {
        List<TaskAttempt> victims = new ArrayList<>();
        double releasedCpus = 0;
        double releasedGpus = 0;
        double releasedMemGb = 0;
        for (TaskAttempt attempt : preemptible) {
            if (fits(spec, releasedCpus, releasedGpus, releasedMemGb)) {
                break;
            }
            JobSpec victimSpec = attempt.job().spec();
            if (victimSpec.priority().compareTo(spec.priority()) > 0) {
                victims.add(attempt);
                releasedCpus += victimSpec.cpus();
                releasedGpus += victimSpec.gpus();
                releasedMemGb += victimSpec.memGb();
            }
        }
        return fits(spec, releasedCpus, releasedGpus, releasedMemGb)
                ? Optional.of(victims)
                : Optional.empty();
    }

    /** Replaces the victims by one task of the job in the prospective capacity. */
    void replace(List<TaskAttempt> victims, JobSpec spec) {
        for (TaskAttempt victim : victims) {
            preemptible.remove(victim);
            release(victim.job().spec());
        }
        freeCpus -= spec.cpus();
        freeGpus -= spec.gpus();
        freeMemGb -= spec.memGb();
    }

    private void release(JobSpec spec) {
        freeCpus += spec.cpus();
        freeGpus += spec.gpus();
        freeMemGb += spec.memGb();
    }

    private boolean fits(JobSpec spec, double extraCpus, double extraGpus, double extraMemGb) {
        return freeCpus + extraCpus + ClusterConstants.EPSILON >= spec.cpus()
                && freeGpus + extraGpus + ClusterConstants.EPSILON >= spec.gpus()
                && freeMemGb + extraMemGb + ClusterConstants.EPSILON >= spec.memGb();
    }
}
