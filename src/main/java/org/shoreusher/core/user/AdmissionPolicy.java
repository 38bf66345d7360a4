package org.shoreusher.core.user;

import org.shoreusher.core.machine.MachineTypeCatalog;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.VersionNegotiation;
import org.shoreusher.settings.Settings;

/**
 * Decides whether a job is admitted: only if its team's quota and the machine types allow it to
 * run.
 */
final class AdmissionPolicy {
    /** The decision on a job. */
    enum Decision {
        /** The team's quota and the machine types allow the job to run. */
        ADMITTED,
        /** The job can never run; the user has to change it. */
        REJECTED,
        /**
         * The machine types are not loaded, or not all nodes are known to support services; the
         * user should retry.
         */
        UNDECIDED
    }

    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    private final VersionNegotiation versionNegotiation;

    /**
     * Creates a policy by the teams' quotas, the cloud's machine types and the versions of the
     * nodes.
     */
    AdmissionPolicy(
            Settings settings,
            MachineTypeCatalog machineTypes,
            VersionNegotiation versionNegotiation) {
        this.settings = settings;
        this.machineTypes = machineTypes;
        this.versionNegotiation = versionNegotiation;
    }

    Decision decide(JobSpec spec) {
        if (exceedsQuota(spec)) {
            return Decision.REJECTED;
        }
        // A node of a version without services would treat a replica as a batch task and complete
        // the job when the replica exits.
        boolean isService = !spec.workloadType().runsToCompletion();
        if (!machineTypes.isLoaded() || (isService && !versionNegotiation.areServicesSupported())) {
            return Decision.UNDECIDED;
        }
        return machineTypes.all().stream().anyMatch(type -> type.canFit(spec))
                ? Decision.ADMITTED
                : Decision.REJECTED;
    }

    /**
     * Whether the team is not configured, or its quota is too low for the tasks that must run
     * concurrently.
     */
    private boolean exceedsQuota(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        int minConcurrentTasks = spec.minConcurrentTasks();
        return team == null
                || spec.cpus() * minConcurrentTasks > team.maxCpus()
                || spec.gpus() * minConcurrentTasks > team.maxGpus();
    }
}
