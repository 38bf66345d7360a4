package org.shoreusher.core;

/** Constants of a node, each with its unit and the reason for its value. */
final class CoreConstants {
    private CoreConstants() {}

    /**
     * ms; a job that was accepted at most this long ago is reported as pending if its task counts
     * are unknown. The state that users get may lag by 3 s (protocol); the rest is for the
     * response.
     */
    static final long JUST_ACCEPTED_MS = 2_500;

    /** ms; how often a node checks whether it leads at least two shards more than another node. */
    static final long SHARD_REBALANCE_INTERVAL_MS = 5_000;

    /**
     * CPUs of headroom that each CPU demanded by a team in a shard counts for when the shard of the
     * team's next job is chosen.
     */
    static final double TEAM_AFFINITY_WEIGHT = 3;

    /**
     * Share of a shard's machines in state {@code UP} whose workers must have contacted other nodes
     * before the leader steps down. A partitioned zone has about half of the machines.
     */
    static final double STEP_DOWN_UNREACHABLE_SHARE = 0.6;

    /**
     * ms; for this long, a node that stepped down because workers could not reach it does not try
     * to acquire a shard.
     */
    static final long STEP_DOWN_COOLDOWN_MS = 15_000;

    /**
     * ms; interval between two scheduling passes over all machines and jobs of a shard. Heartbeats
     * are handled independently of it.
     */
    static final long SCHEDULING_PASS_INTERVAL_MS = 100;

    /**
     * CPUs; headroom assumed for a shard without recent gossip. It gets a new job only if all other
     * shards have even less headroom.
     */
    static final double UNKNOWN_SHARD_HEADROOM_CPUS = -1_000;
}
