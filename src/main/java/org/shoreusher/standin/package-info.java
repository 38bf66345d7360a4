/**
 * Stand-ins of the external systems on loopback, which follow the protocol: key-value store, cloud
 * and workers. The build's smoke check and the measurements run controllers against them.
 *
 * <p>Guarantees: controllers never use this package. Every start and end of a running task on a
 * stand-in worker is recorded in {@link org.shoreusher.standin.TaskHistory}, which detects a task
 * that runs on two machines at once.
 */
package org.shoreusher.standin;
