/**
 * HTTP client and options of outgoing connections. Every call completes exactly once, with a
 * response or without one. Uses {@code wire} and {@code settings}.
 */
package org.shoreusher.net;
