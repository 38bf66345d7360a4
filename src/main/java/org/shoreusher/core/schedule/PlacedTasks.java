package org.shoreusher.core.schedule;

import org.shoreusher.core.cluster.Job;

/**
 * A number of tasks of one job that are to run on one machine.
 *
 * @param job the job
 * @param capacity the machine
 * @param taskCount number of tasks
 */
public record PlacedTasks(Job job, MachineCapacity capacity, int taskCount) {}
