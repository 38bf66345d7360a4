/**
 * Adapter for direct orders to workers, which are best effort: workers get all orders with the
 * responses to their heartbeats too. Uses {@code net}, {@code wire}, {@code settings} and {@code
 * core.message}.
 */
package org.shoreusher.worker;
