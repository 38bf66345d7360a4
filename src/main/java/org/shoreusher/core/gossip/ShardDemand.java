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
 * The demand of a shard and that of the others: the summary that the others get by gossip, and what
 * their summaries say.
 */
public final class ShardDemand {
    private static final TeamDemand NO_DEMAND = new TeamDemand(0, 0);

    private final int shardNumber;
    private final int shardCount;
    private final PeerView peers;
    private final Map<String, Job> jobs;
    private final Map<String, Machine> machines;

    /** The demand of one shard; {@code jobs} and {@code machines} are live views. */
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

    /** CPUs of a team's quota that the other shards need, as far as fresh summaries tell. */
    public double demandElsewhereCpus(String team) {
        double cpus = 0;
        for (int otherShard = 0; otherShard < shardCount; otherShard++) {
            ShardSummary summary = summaryFromPeers(otherShard);
            TeamDemand demand = summary == null ? null : summary.teamDemands().get(team);
            cpus += demand == null ? 0 : demand.highPriorityCpus() + demand.otherCpus();
        }
        return cpus;
    }

    /** A team's demand in each shard, by number; null where there is no fresh summary. */
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

    /** The summary of another shard; null for this shard, or if there is no fresh one. */
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
     * The CPUs of the team's largest task in this shard; 0 if there is none. A share of the quota
     * that is smaller than this would be useless.
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
     * The summary of this shard for the others.
     *
     * @param isSurplus whether the shard has no tasks for a machine
     * @param machineShortfall how many more machines the shard could fill at once
     */
    public ShardSummary summarize(Predicate<Machine> isSurplus, int machineShortfall) {
        double cpuHeadroom = 0;
        int idleMachines = 0;
        for (Machine machine : machines.values()) {
            if (machine.state() == Machine.State.UP || machine.state() == Machine.State.BOOTING) {
                cpuHeadroom += machine.resources().cpusFree();
            }
            idleMachines += isSurplus.test(machine) ? 1 : 0;
        }
        Map<String, TeamDemand> demands = new HashMap<>();
        for (Job job : jobs.values()) {
            cpuHeadroom -= job.pendingCount() * job.spec().cpus();
            demands.computeIfAbsent(job.spec().team(), this::ownDemand);
        }
        return new ShardSummary(cpuHeadroom, idleMachines, machineShortfall, demands);
    }

    /** The number of machines for which the other shards have no work. */
    public int idleMachinesElsewhere() {
        int idleMachines = 0;
        for (int otherShard = 0; otherShard < shardCount; otherShard++) {
            ShardSummary summary = summaryFromPeers(otherShard);
            idleMachines += summary == null ? 0 : summary.idleMachines();
        }
        return idleMachines;
    }

    /** The number of further machines that another shard could use now. */
    public int machineShortfallOf(int otherShard) {
        ShardSummary summary = peers.shardSummary(otherShard);
        return summary == null ? 0 : summary.machineShortfall();
    }

    /** The number of the other shard that could use most machines; empty if none needs any. */
    public OptionalInt shardWithLargestShortfall() {
        OptionalInt neediest = OptionalInt.empty();
        int largestShortfall = 0;
        for (int otherShard = 0; otherShard < shardCount; otherShard++) {
            int shortfall = otherShard == shardNumber ? 0 : machineShortfallOf(otherShard);
            if (shortfall > largestShortfall) {
                largestShortfall = shortfall;
                neediest = OptionalInt.of(otherShard);
            }
        }
        return neediest;
    }
}
