package org.shoreusher.core.cluster;

import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;

/** The CPUs, GPUs and GB of memory of one machine: used, reserved and free amounts. */
public final class MachineResources {
    private final MachineType type;
    private double cpusUsed;
    private double gpusUsed;
    private double memGbUsed;

    /** Number of tasks that the reserved amounts below are for. */
    private int reservedTaskCount;

    private double cpusReserved;
    private double gpusReserved;
    private double memGbReserved;

    /** Creates the resources of an empty machine. */
    MachineResources(MachineType type) {
        this.type = type;
    }

    /** Adds the resources of one task to those in use. */
    void use(JobSpec spec) {
        cpusUsed += spec.cpus();
        gpusUsed += spec.gpus();
        memGbUsed += spec.memGb();
    }

    /**
     * Releases the resources of one task.
     *
     * @param isLast whether no task is left; the sums are then reset to exactly 0, without rounding
     *     errors
     */
    void release(JobSpec spec, boolean isLast) {
        cpusUsed = isLast ? 0 : cpusUsed - spec.cpus();
        gpusUsed = isLast ? 0 : gpusUsed - spec.gpus();
        memGbUsed = isLast ? 0 : memGbUsed - spec.memGb();
    }

    /** Reserves capacity for a number of tasks that migrate here; a negative number releases it. */
    public void reserve(JobSpec spec, int taskCount) {
        reservedTaskCount += taskCount;
        cpusReserved = reservedTaskCount == 0 ? 0 : cpusReserved + taskCount * spec.cpus();
        gpusReserved = reservedTaskCount == 0 ? 0 : gpusReserved + taskCount * spec.gpus();
        memGbReserved = reservedTaskCount == 0 ? 0 : memGbReserved + taskCount * spec.memGb();
    }

    /** Number of tasks that are migrating here and for which capacity is reserved. */
    public int reservedTaskCount() {
        return reservedTaskCount;
    }

    /** CPUs used by the tasks on the machine, reservations excluded. */
    public double cpusUsed() {
        return cpusUsed;
    }

    /** CPUs neither used nor reserved; may be negative. */
    public double cpusFree() {
        return type.cpus() - cpusUsed - cpusReserved;
    }

    /** GPUs neither used nor reserved; may be negative. */
    public double gpusFree() {
        return type.gpus() - gpusUsed - gpusReserved;
    }

    /** GB of memory neither used nor reserved; may be negative. */
    public double memGbFree() {
        return type.memGb() - memGbUsed - memGbReserved;
    }
}
