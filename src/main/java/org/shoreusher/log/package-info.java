/**
 * Structured log events. {@link org.shoreusher.log.LogEventType} lists everything that is logged;
 * the core only builds events, and adapters write them through SLF4J.
 */
package org.shoreusher.log;
