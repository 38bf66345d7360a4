package org.shoreusher.standby;

/**
 * An attempt that may be on a machine, with the resources that it uses of the machine and of its
 * team's quota.
 *
 * @param machineId the id of the machine
 * @param team the team whose quota the attempt uses
 * @param cpus number of CPUs
 * @param gpus number of GPUs
 * @param memGb GB of memory
 */
public record Attempt(
        AttemptId id, String machineId, String team, double cpus, double gpus, double memGb) {}
