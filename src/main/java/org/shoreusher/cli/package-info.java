/**
 * The program: command line, start-up, and the event loop that connects the core to its adapters.
 * Also the check that the build runs to make the class archive. May use all packages; none uses it.
 */
package org.shoreusher.cli;
