/**
 * The jobs of a shard and their records in the key-value store: open jobs, completed tasks,
 * high-water marks, terminal states, submission batches and run-time estimates.
 *
 * <p>It promises that a completion which was recorded stays recorded, that a task's high-water mark
 * is durable before the task is first started, that a terminal state is durable before users are
 * told of it, and that no record exceeds the store's limit on a value.
 *
 * <p>It may use the packages {@code message}, {@code store}, {@code leadership}, {@code cluster}
 * and {@code gossip} of the core, and {@code wire}, {@code log} and {@code settings}.
 */
package org.shoreusher.core.job;
