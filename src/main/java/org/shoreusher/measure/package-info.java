/**
 * Measurements of complete deployments on loopback: controller processes with the command line of
 * {@code deploy/service.toml}, against the stand-ins. Run by hand, never by a controller or CI.
 */
package org.shoreusher.measure;
