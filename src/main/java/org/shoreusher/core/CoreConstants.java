package org.shoreusher.core;

/** Constants of a node, each with its unit and the reason for its value. */
final class CoreConstants {
    private CoreConstants() {}

    /** ms; how often a node checks whether it leads two shards more than another node. */
    static final long SHARD_REBALANCE_INTERVAL_MS = 5_000;

    /** Weight of a team's CPUs in a shard when the shard of the team's next job is chosen. */
    static final double TEAM_AFFINITY_WEIGHT = 3;

    /**
     * Share of its machines that must have contacted other nodes before a leader steps down. A
     * partitioned zone has about half of them.
     */
    static final double STEP_DOWN_UNREACHABLE_SHARE = 0.6;

    /**
     * ms; a node that has stepped down for this reason does not try to acquire the shard for so
     * long.
     */
    static final long STEP_DOWN_COOLDOWN_MS = 15_000;

    /**
     * ms; how often a leader scans all of its machines and jobs. Heartbeats are answered in
     * between.
     */
    static final long FULL_SCAN_INTERVAL_MS = 100;

    /**
     * CPUs; headroom assumed for a shard without fresh gossip, which gets jobs only if all others
     * are far behind.
     */
    static final double UNKNOWN_SHARD_HEADROOM_CPUS = -1_000;
}
