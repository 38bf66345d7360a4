/**
 * Stand-ins of the external systems on loopback, which follow the protocol: key-value store, cloud
 * and workers. The build's smoke check and the measurements run controllers against them;
 * controllers in production never use them.
 */
package org.shoreusher.standin;
