/**
 * Deterministic simulations of whole clusters and of single nodes, and the tests that run them.
 *
 * <p>{@link org.shoreusher.simulation.ClusterSimulation} runs the cores of all nodes against a
 * simulated store, cloud, network, workers and users. Time is simulated and the seed alone
 * determines the run, so that a failing run can be repeated. {@link
 * org.shoreusher.simulation.Invariants} checks the protocol's invariants while the simulation runs.
 * {@link org.shoreusher.simulation.SingleNodeSimulation} drives one core command by command. The
 * classes PreviousVersion* stand in for nodes of the previous version, which has no services.
 *
 * <p>The simulations use the core only through its commands and effects and the formats of {@code
 * wire} and {@code peer}. Of the core's internals they use only constants and the token bucket.
 */
package org.shoreusher.simulation;
