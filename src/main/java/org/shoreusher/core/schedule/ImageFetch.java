package org.shoreusher.core.schedule;

import org.shoreusher.core.job.JobConstants;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.core.message.MachineType;

/** The cost of fetching a task's image on a machine that does not have it. */
final class ImageFetch {
    private ImageFetch() {}

    /** Returns the seconds that fetching the job's image takes on a machine of this type. */
    static double fetchS(MachineType type, JobSpec spec) {
        return spec.imageGb()
                / Math.max(ScheduleConstants.MIN_IMAGE_FETCH_GB_PER_S, type.imageFetchGbPerS());
    }

    /**
     * Returns the share of a task's time on a machine that fetching its image takes, from 0 to 1.
     */
    static double shareOfRunTime(MachineType type, JobSpec spec) {
        double fetchS = fetchS(type, spec);
        return fetchS / (fetchS + Math.max(JobConstants.MIN_RUN_TIME_S, spec.estimatedRunS()));
    }

    /**
     * Returns the cost of the fetch in CPUs: those of one task, times the share of the task's time
     * on the machine that the fetch takes; 0 if the machine has the image.
     */
    static double costCpus(MachineCapacity capacity, JobSpec spec) {
        if (capacity.isProvisioned() && capacity.machine().cachedImages().contains(spec.image())) {
            return 0;
        }
        return spec.cpus() * shareOfRunTime(capacity.type(), spec);
    }
}
