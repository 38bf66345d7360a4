package org.shoreusher.core.machine;

/**
 * What the cloud's capacity is counted by.
 *
 * @param type name of the machine type
 * @param zone the zone
 * @param spot whether a spot machine, else an on-demand one
 */
record MachineKind(String type, String zone, boolean spot) {}
