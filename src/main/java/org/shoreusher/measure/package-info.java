/**
 * Measurements of complete deployments on loopback: controller processes with the command line of
 * {@code deploy/service.toml}, against the stand-ins. They are started by hand, never by a
 * controller or by CI.
 *
 * <p>Guarantees: a measurement exits with 0 only if no task ran on two machines at once and each of
 * its checks passed. The controllers that it has started are killed when it ends.
 */
package org.shoreusher.measure;
