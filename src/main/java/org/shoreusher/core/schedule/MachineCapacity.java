package org.shoreusher.core.schedule;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import org.shoreusher.core.cluster.ClusterConstants;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;

/** The capacity of one machine that is still free while a plan is made; not thread-safe. */
public final class MachineCapacity {
    private final Machine machine;
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private final boolean expensive;
    private double freeCpus;
    private double freeGpus;
    private double freeMemGb;

    /** CPUs that the current plan assigns here, by team; created with the first entry. */
    private Object2DoubleOpenHashMap<String> plannedCpus;

    /** The key by which a bin packer sorts the machines for the current job, lowest first. */
    private double sortKey;

    /** Creates the capacity of an existing machine that is free now. */
    public MachineCapacity(Machine machine) {
        this(
                machine,
                machine.type(),
                machine.zone(),
                machine.isSpot(),
                machine.resources().cpusFree(),
                machine.resources().gpusFree(),
                machine.resources().memGbFree());
    }

    /** Creates the capacity of an empty machine that has not been provisioned yet. */
    public MachineCapacity(MachineType type, String zone, boolean spot) {
        this(null, type, zone, spot, type.cpus(), type.gpus(), type.memGb());
    }

    private MachineCapacity(
            Machine machine,
            MachineType type,
            String zone,
            boolean spot,
            double freeCpus,
            double freeGpus,
            double freeMemGb) {
        this.machine = machine;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        expensive = !spot && type.isOnDemandExpensive();
        this.freeCpus = freeCpus;
        this.freeGpus = freeGpus;
        this.freeMemGb = freeMemGb;
    }

    /** Returns the machine; null if it has not been provisioned yet. */
    public Machine machine() {
        return machine;
    }

    boolean isProvisioned() {
        return machine != null;
    }

    /** Returns the type of the machine. */
    public MachineType type() {
        return type;
    }

    /** Returns the zone of the machine. */
    public String zone() {
        return zone;
    }

    /** Whether this is a spot machine. */
    public boolean isSpot() {
        return spot;
    }

    /**
     * Whether this is an on-demand machine of a type that is far cheaper as a spot machine. It is
     * filled last, so that it becomes idle first when load drops.
     */
    boolean isExpensive() {
        return expensive;
    }

    double freeCpus() {
        return freeCpus;
    }

    double sortKey() {
        return sortKey;
    }

    void setSortKey(double sortKey) {
        this.sortKey = sortKey;
    }

    /** Whether the job may run on this machine by its type, its zone, and spot or on-demand. */
    boolean isAllowedFor(JobSpec spec) {
        return spec.allowsMachine(type.name(), zone, spot);
    }

    /** Returns how many tasks of the job fit into the free CPUs, GPUs and memory. */
    public int fittingTaskCount(JobSpec spec) {
        double count = Integer.MAX_VALUE;
        count = Math.min(count, fittingCount(freeCpus, spec.cpus()));
        count = Math.min(count, fittingCount(freeGpus, spec.gpus()));
        count = Math.min(count, fittingCount(freeMemGb, spec.memGb()));
        return (int) Math.max(0, count);
    }

    private static double fittingCount(double free, double perTask) {
        return perTask > 0
                ? Math.floor(free / perTask + ClusterConstants.EPSILON)
                : Integer.MAX_VALUE;
    }

    /** Whether neither CPUs nor GPUs are free, so that hardly any task fits. */
    boolean isFull() {
        return freeCpus <= ClusterConstants.EPSILON && freeGpus <= ClusterConstants.EPSILON;
    }

    /** Returns the CPUs on this machine that the current plan assigns to a team. */
    double plannedCpus(String team) {
        return plannedCpus == null ? 0 : plannedCpus.getDouble(team);
    }

    /** Records tasks of the job that the current plan assigns to this machine. */
    void recordPlanned(JobSpec spec, int taskCount) {
        if (plannedCpus == null) {
            plannedCpus = new Object2DoubleOpenHashMap<>();
        }
        plannedCpus.addTo(spec.team(), spec.cpus() * taskCount);
    }

    /** Subtracts the resources of tasks of the job from the free capacity. */
    void allocate(JobSpec spec, int taskCount) {
        freeCpus -= spec.cpus() * taskCount;
        freeGpus -= spec.gpus() * taskCount;
        freeMemGb -= spec.memGb() * taskCount;
    }
}
