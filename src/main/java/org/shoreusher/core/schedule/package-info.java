/**
 * Decides which pending tasks run on which machine, within the teams' quotas.
 *
 * <p>Owns the scheduling order of jobs, bin packing and the placement plan, a shard's shares of the
 * quotas, preemption, and task migration. It decides on starts but does not order them: start
 * orders go out in responses to heartbeats. It sends stop orders and writes quota records itself.
 *
 * <p>Invariants: the shares of a quota never sum to more than the quota; a task is counted on at
 * most one machine; only tasks below a job's high-water mark are started.
 *
 * <p>May use {@code message}, {@code store}, {@code leadership}, {@code cluster}, {@code gossip}
 * and {@code job} of the core, and {@code balance}. Not thread-safe: all calls come from the core's
 * thread.
 */
package org.shoreusher.core.schedule;
