package org.shoreusher.core.gossip;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Predicate;
import org.shoreusher.core.cluster.Job;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.leadership.PeerView;
import org.shoreusher.core.message.GossipMessage.ShardSummary;
import org.shoreusher.core.message.GossipMessage.TeamDemand;
import org.shoreusher.core.message.JobSpec;

/**
 * The demand of a shard and of the other shards: creates the summary that is sent by gossip, and
 * reads the summaries of the others.
 */
public final class ShardDemand {
    private static final TeamDemand NO_DEMAND = new TeamDemand(0, 0);

    private final int shardNumber;
    private final int shardCount;
    private final PeerView peers;
    private final Map<String, Job> jobs;
    private final Map<String, Machine> machines;

    /** Creates the demand of one shard; {@code jobs} and {@code machines} are live views. */
    public ShardDemand(
            int shardNumber,
            int shardCount,
            PeerView peers,
            Map<String, Job> jobs,
            Map<String, Machine> machines) {
        this.shardNumber = shardNumber;
        this.shardCount = shardCount;
        this.peers = peers;
        this.jobs = jobs;
        this.machines = machines;
    }

    /**
     * The CPUs of a team's quota that the other shards need; a shard without a recent summary
     * counts as 0.
     */
    public double demandElsewhereCpus(String team) {
        double cpus = 0;
        for (int otherShard = 0; otherShard < shardCount; otherShard++) {
            ShardSummary summary = summaryFromPeers(otherShard);
            TeamDemand demand = summary == null ? null : summary.teamDemands().get(team);
            cpus += demand == null ? 0 : demand.highPriorityCpus() + demand.otherCpus();
        }
        return cpus;
    }

    /**
     * A team's demand in each shard, by number; null for another shard without a recent summary.
     */
    public TeamDemand[] demandByShard(String team) {
        TeamDemand[] demands = new TeamDemand[shardCount];
        for (int otherShard = 0; otherShard < shardCount; otherShard++) {
            ShardSummary summary = summaryFromPeers(otherShard);
            if (summary != null) {
                demands[otherShard] = summary.teamDemands().getOrDefault(team, NO_DEMAND);
            }
        }
        demands[shardNumber] = ownDemand(team);
        return demands;
    }

    /** The summary of another shard; null for this shard, or if there is no recent one. */
    private ShardSummary summaryFromPeers(int otherShard) {
        return otherShard == shardNumber ? null : peers.shardSummary(otherShard);
    }

    /** The team's demand in this shard. */
    private TeamDemand ownDemand(String team) {
        double highPriorityCpus = 0;
        double otherCpus = 0;
        for (Job job : jobs.values()) {
            if (job.spec().team().equals(team)) {
                double cpus =
                        (job.pendingCount() + job.activeAttempts().size()) * job.spec().cpus();
                if (job.spec().priority().compareTo(JobSpec.Priority.HIGH) <= 0) {
                    highPriorityCpus += cpus;
                } else {
                    otherCpus += cpus;
                }
            }
        }
        return new TeamDemand(highPriorityCpus, otherCpus);
    }

    /**
     * The CPUs of the team's largest task in this shard; 0 if there is none. With a smaller share
     * of the quota, this task could not be started.
     */
    public double largestTaskCpus(String team) {
        double largest = 0;
        for (Job job : jobs.values()) {
            if (job.spec().team().equals(team)) {
                largest = Math.max(largest, job.spec().cpus());
            }
        }
        return largest;
    }

    /**
     * Creates the summary of this shard for the other nodes.
     *
     * @param isSurplus whether a machine is idle and the shard has no tasks for it
     * @param machineShortfall the number of further machines that the shard could use now
     */
    public ShardSummary summarize(Predicate<Machine> isSurplus, int machineShortfall) {
        double cpuHeadroom = 0;
        int surplusMachines = 0;
        for (Machine machine : machines.values()) {
            if (machine.state() == Machine.State.UP || machine.state() == Machine.State.BOOTING) {
                cpuHeadroom += machine.resources().cpusFree();
            }
            surplusMachines += isSurplus.test(machine) ? 1 : 0;
        }
        Map<String, TeamDemand> demands = new HashMap<>();
        for (Job job : jobs.values()) {
            cpuHeadroom -= job.pendingCount() * job.spec().cpus();
            demands.computeIfAbsent(job.spec().team(), this::ownDemand);
        }
        return new ShardSummary(cpuHeadroom, surplusMachines, machineShortfall, demands);
    }

    /** The number of surplus machines of the other shards, by their recent summaries. */
    public int surplusMachinesElsewhere() {
        int surplusMachines = 0;
        for (int otherShard = 0; otherShard < shardCount; otherShard++) {
            ShardSummary summary = summaryFromPeers(otherShard);
            surplusMachines += summary == null ? 0 : summary.surplusMachines();
        }
        return surplusMachines;
    }

    /** The number of further machines that a shard could use now; 0 if it has no recent summary. */
    public int machineShortfallOf(int otherShard) {
        ShardSummary summary = peers.shardSummary(otherShard);
        return summary == null ? 0 : summary.machineShortfall();
    }

    /**
     * The number of the other shard that could use the most further machines; empty if none could
     * use any.
     */
    public OptionalInt shardWithLargestShortfall() {
        OptionalInt targetShard = OptionalInt.empty();
        int largestShortfall = 0;
        for (int otherShard = 0; otherShard < shardCount; otherShard++) {
            int shortfall = otherShard == shardNumber ? 0 : machineShortfallOf(otherShard);
            if (shortfall > largestShortfall) {
                largestShortfall = shortfall;
                targetShard = OptionalInt.of(otherShard);
            }
        }
        return targetShard;
    }
}
