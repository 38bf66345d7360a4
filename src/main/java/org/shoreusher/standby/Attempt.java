package org.shoreusher.standby;

/**
 * An attempt that may be on a machine, with what it takes of the machine's room and of its team's
 * limit.
 *
 * @param cpus CPUs, and the same for the others
 * @param memGb GB of memory
 */
public record Attempt(
        AttemptId id, String machine, String team, double cpus, double gpus, double memGb) {}
