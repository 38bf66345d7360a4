/**
 * The program: command line, start-up, and the event loop that connects the core to its adapters.
 * Also the check that the build runs to create the class archive.
 *
 * <p>Guarantees: no connection is accepted before the settings and features files are validated.
 * The core runs on one thread. A full command queue rejects requests, but never the replies to
 * calls of the core.
 *
 * <p>May use all packages; no package uses it.
 */
package org.shoreusher.cli;
