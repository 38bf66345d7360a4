/**
 * Structured log events. {@link org.shoreusher.log.LogEventType} lists everything that is logged;
 * the core only builds events, and adapters write them through SLF4J.
 *
 * <p>Guarantees: fields are written in the order in which they were added, and events for debugging
 * are written at the debug level only. Uses no other package of the project.
 */
package org.shoreusher.log;
