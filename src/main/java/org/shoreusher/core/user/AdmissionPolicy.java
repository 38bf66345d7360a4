package org.shoreusher.core.user;

import org.shoreusher.core.machine.MachineTypeCatalog;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.store.VersionNegotiation;
import org.shoreusher.settings.Settings;

/** Decides which jobs are admitted: those that can run at some time. */
final class AdmissionPolicy {
    /** Whether a job is admitted. */
    enum Decision {
        /** The job can run. */
        ADMITTED,
        /** The job can never run. */
        REJECTED,
        /** This node cannot tell yet. */
        UNDECIDED
    }

    private final Settings settings;
    private final MachineTypeCatalog machineTypes;
    private final VersionNegotiation versionNegotiation;

    /** A policy by the teams' limits, the cloud's machine types and the nodes' versions. */
    AdmissionPolicy(
            Settings settings,
            MachineTypeCatalog machineTypes,
            VersionNegotiation versionNegotiation) {
        this.settings = settings;
        this.machineTypes = machineTypes;
        this.versionNegotiation = versionNegotiation;
    }

    /** Decides on a job. */
    Decision decide(JobSpec spec) {
        if (exceedsTeamLimit(spec)) {
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

    /** Whether the team is unknown, or its limit is too low for the tasks that must run at once. */
    private boolean exceedsTeamLimit(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        int minConcurrentTasks = spec.minConcurrentTasks();
        return team == null
                || spec.cpus() * minConcurrentTasks > team.maxCpus()
                || spec.gpus() * minConcurrentTasks > team.maxGpus();
    }
}
