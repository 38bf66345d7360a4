/**
 * HTTP server for users, workers and the load balancer: passes requests to the core as commands and
 * writes the responses.
 *
 * <p>Guarantees: each request gets one response, unless its connection is closed first. The number
 * of connections, their idle times and the length of bodies are bounded. When the event loop is
 * delayed, requests of users are rejected before heartbeats of workers.
 *
 * <p>Uses {@code net}, {@code wire}, {@code settings}, {@code log} and {@code core.message}.
 */
package org.shoreusher.user;
