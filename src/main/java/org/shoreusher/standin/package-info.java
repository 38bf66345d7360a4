/**
 * Stand-ins of the outside systems on loopback: state service, cloud and workers, as the protocol
 * describes them. The build's rehearsal and the measurements run controllers against them; no
 * controller uses them in service.
 */
package org.shoreusher.standin;
