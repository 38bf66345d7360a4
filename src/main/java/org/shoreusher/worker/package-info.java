/**
 * Adapter for direct orders to workers. Delivery is best effort: the responses to heartbeats
 * contain all orders too.
 *
 * <p>Guarantees: at most a fixed number of direct orders are in flight, and no connection is kept
 * after one.
 *
 * <p>Uses {@code net}, {@code wire}, {@code settings} and {@code core.message}.
 */
package org.shoreusher.worker;
