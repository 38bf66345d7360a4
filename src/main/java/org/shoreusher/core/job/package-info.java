/**
 * The jobs of a shard and their records in the key-value store: open jobs, completed tasks,
 * high-water marks, terminal states, submission batches and run-time estimates.
 *
 * <p>Guarantees: a completion that is recorded in the store is never lost. A task is started for
 * the first time only after a high-water mark above its index is durable. A terminal state is
 * durable before it is reported to users. No record is written that exceeds the store's size limit
 * on values.
 *
 * <p>May use the packages {@code message}, {@code store}, {@code leadership}, {@code cluster} and
 * {@code gossip} of the core, and {@code wire}, {@code log} and {@code settings}.
 */
package org.shoreusher.core.job;
