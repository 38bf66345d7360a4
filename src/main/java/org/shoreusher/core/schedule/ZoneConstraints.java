package org.shoreusher.core.schedule;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import org.shoreusher.core.cluster.Job;

/**
 * The zone constraints of a job (all tasks in a single zone, or spread across zones), given its
 * tasks that are or may be on machines and those that a plan has placed.
 */
final class ZoneConstraints {
    private final Object2IntOpenHashMap<String> tasksPerZone = new Object2IntOpenHashMap<>();
    private final boolean singleZone;

    /** Most tasks in the zone that may get the larger half; of an odd number, one more. */
    private final int maxInLargerHalfZone;

    /** Most tasks in a zone that may get only the smaller half. */
    private final int maxInOtherZones;

    /** The only zone that may get the larger half of an odd number of tasks; null for any zone. */
    private final String largerHalfZone;

    /** Creates the constraints, given the tasks of the job that are or may be on machines. */
    ZoneConstraints(Job job) {
        singleZone = job.spec().singleZone();
        maxInLargerHalfZone =
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

    /** Returns how many more tasks of the job may be placed in the zone. */
    int remainingTasks(String zone) {
        // While tasks may be in more than one zone, none may be placed in any zone.
        if (singleZone
                && !tasksPerZone.isEmpty()
                && (tasksPerZone.size() > 1 || !tasksPerZone.containsKey(zone))) {
            return 0;
        }
        boolean mayGetLargerHalf = largerHalfZone == null || largerHalfZone.equals(zone);
        return (mayGetLargerHalf ? maxInLargerHalfZone : maxInOtherZones)
                - tasksPerZone.getInt(zone);
    }

    /** Records tasks of the job that the current plan has placed in the zone. */
    void add(String zone, int taskCount) {
        tasksPerZone.addTo(zone, taskCount);
    }
}
