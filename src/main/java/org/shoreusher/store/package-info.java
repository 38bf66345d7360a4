/**
 * Adapter to the key-value store: carries out the core's store calls and returns each reply to the
 * core. Uses {@code net}, {@code wire}, {@code settings} and {@code core.message}.
 */
package org.shoreusher.store;
