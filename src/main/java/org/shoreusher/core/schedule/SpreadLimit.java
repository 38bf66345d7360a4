package org.shoreusher.core.schedule;

import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.message.JobSpec;

/** Limits the load of a team on one machine while other machines have capacity for its tasks. */
public interface SpreadLimit {
    /** No limit. */
    SpreadLimit NONE =
            new SpreadLimit() {
                @Override
                public double maxTeamCpus(Machine machine, JobSpec spec, SpreadPass pass) {
                    return Double.POSITIVE_INFINITY;
                }

                @Override
                public double teamCpusUsed(Machine machine, String team) {
                    return 0;
                }
            };

    /**
     * Returns the most CPUs that the job's team may use on the machine in this pass; infinite
     * without a limit. Not called for {@link SpreadPass#UNLIMITED}.
     */
    double maxTeamCpus(Machine machine, JobSpec spec, SpreadPass pass);

    /** Returns the CPUs that the team uses on the machine. */
    double teamCpusUsed(Machine machine, String team);
}
