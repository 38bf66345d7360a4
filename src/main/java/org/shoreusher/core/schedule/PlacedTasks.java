package org.shoreusher.core.schedule;

import org.shoreusher.core.cluster.Job;

/**
 * Tasks of one job that a plan has placed on one machine.
 *
 * @param job the job
 * @param capacity the capacity of the machine; its machine is null if it is not provisioned yet
 * @param taskCount number of tasks
 */
public record PlacedTasks(Job job, MachineCapacity capacity, int taskCount) {}
