package org.shoreusher.core.schedule;

/**
 * The objects of one shard in this package that other packages use.
 *
 * @param schedulingOrder the order in which jobs get resources
 * @param jobQueue the jobs with pending tasks
 * @param quotaHeadroom the part of each team's quota that is still free in the shard
 * @param binPackers creates bin packers over the available machines
 * @param taskStopper sends orders to stop tasks
 * @param taskMigration migrates tasks between machines
 */
public record ShardScheduling(
        SchedulingOrder schedulingOrder,
        JobQueue jobQueue,
        QuotaHeadroom quotaHeadroom,
        BinPackerFactory binPackers,
        TaskStopper taskStopper,
        TaskMigration taskMigration) {}
