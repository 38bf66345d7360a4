/**
 * Adapter to the cloud: carries out the core's cloud calls and returns each reply to the core. Uses
 * {@code net}, {@code wire}, {@code settings} and {@code core.message}.
 */
package org.shoreusher.cloud;
