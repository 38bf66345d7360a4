package org.shoreusher.core.machine;

/**
 * A kind of machine. The cloud's capacity is limited for each kind separately.
 *
 * @param type name of the machine type
 * @param zone name of the zone
 * @param spot true for spot machines, false for on-demand ones
 */
record MachineKind(String type, String zone, boolean spot) {}
