/**
 * Measurements of whole deployments on loopback: real controller processes with the flags of {@code
 * deploy/service.toml}, against the stand-ins. Run by hand, never by a controller or by CI.
 */
package org.shoreusher.measure;
