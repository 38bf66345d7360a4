/**
 * HTTP server for users, workers and the load balancer. Bounds connections, idle times and bodies,
 * sheds load when the node lags, and passes requests to the core as commands. Each request gets one
 * response. Uses {@code net}, {@code wire}, {@code settings}, {@code log} and {@code core.message}.
 */
package org.shoreusher.user;
