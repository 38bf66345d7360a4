package org.shoreusher.core.schedule;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import org.shoreusher.core.cluster.Job;

/**
 * Zone constraints of a job (single zone, or replicas spread over zones), given the tasks that are
 * or may be on machines.
 */
final class ZoneConstraints {
    private final Object2IntOpenHashMap<String> tasksPerZone = new Object2IntOpenHashMap<>();
    private final boolean singleZone;
    private final int maxPerZone;
    private final int maxInOtherZones;
    private final String largerHalfZone;

    /** Counts the tasks of the job that are or may be on machines, by zone. */
    ZoneConstraints(Job job) {
        singleZone = job.spec().singleZone();
        maxPerZone =
                job.spec().spreadAcrossZones()
                        ? (job.spec().taskCount() + 1) / 2
                        : Integer.MAX_VALUE;
        maxInOtherZones =
                job.spec().spreadAcrossZones() ? job.spec().taskCount() / 2 : Integer.MAX_VALUE;
        largerHalfZone = job.largerHalfZone();
        if (singleZone || job.spec().spreadAcrossZones()) {
            job.activeAttempts()
                    .values()
                    .forEach(attempt -> tasksPerZone.addTo(attempt.machine().zone(), 1));
        }
    }

    /** Returns how many more tasks of the job may go into the zone. */
    int remainingTasks(String zone) {
        // If tasks may be in two zones, no zone is safe until one of them is known to be empty.
        if (singleZone
                && !tasksPerZone.isEmpty()
                && (tasksPerZone.size() > 1 || !tasksPerZone.containsKey(zone))) {
            return 0;
        }
        boolean largerHalf = largerHalfZone == null || largerHalfZone.equals(zone);
        return (largerHalf ? maxPerZone : maxInOtherZones) - tasksPerZone.getInt(zone);
    }

    /** Records that so many tasks of the job were placed in the zone. */
    void add(String zone, int taskCount) {
        tasksPerZone.addTo(zone, taskCount);
    }
}
