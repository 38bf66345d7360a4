/**
 * Deterministic simulations of whole clusters and of single nodes, and the tests that run them.
 *
 * <p>{@link org.shoreusher.simulation.ClusterSimulation} runs the cores of all nodes against a
 * simulated store, cloud, network, workers and users. Time is simulated and one seed decides
 * everything, so that a failing run can be repeated. {@link org.shoreusher.simulation.Invariants}
 * checks the protocol's rules while the simulation runs. {@link
 * org.shoreusher.simulation.SingleNodeSimulation} drives one core message by message. The classes
 * PreviousVersion* stand for nodes of the version before services.
 *
 * <p>The simulations see the core through its commands and effects, and the formats of {@code wire}
 * and {@code peer}. Of the core's inside they use only constants and the token bucket.
 */
package org.shoreusher.simulation;
