package org.shoreusher.core;

import java.util.HashMap;
import java.util.Map;
import org.shoreusher.core.Hint.Claim;
import org.shoreusher.core.Hint.PartHint;

/**
 * The demand of a shard and that of the others: the summary that the others get by gossip, and what
 * their summaries say.
 */
final class OtherParts {
    private final int partNumber;
    private final int parts;
    private final Part.Others others;
    private final Map<String, Job> jobs;
    private final Map<String, Machine> machines;

    /** The demand of one shard; {@code jobs} and {@code machines} are live views. */
    OtherParts(
            int partNumber,
            int parts,
            Part.Others others,
            Map<String, Job> jobs,
            Map<String, Machine> machines) {
        this.partNumber = partNumber;
        this.parts = parts;
        this.others = others;
        this.jobs = jobs;
        this.machines = machines;
    }

    /** CPUs of a team's quota that the other shards need, as far as fresh summaries tell. */
    double claimed(String team) {
        double cpus = 0;
        for (int m = 0; m < parts; m++) {
            PartHint hint = m == partNumber ? null : others.shardSummary(m);
            Claim claim = hint == null ? null : hint.claims().get(team);
            cpus += claim == null ? 0 : claim.urgent() + claim.other();
        }
        return cpus;
    }

    /** A team's demand in each shard, by number; null where there is no fresh summary. */
    Claim[] claims(String team) {
        Claim[] claims = new Claim[parts];
        for (int m = 0; m < parts; m++) {
            PartHint hint = m == partNumber ? null : others.shardSummary(m);
            claims[m] =
                    m == partNumber
                            ? claim(team)
                            : hint == null
                                    ? null
                                    : hint.claims().getOrDefault(team, new Claim(0, 0));
        }
        return claims;
    }

    /** The team's demand in this shard. */
    private Claim claim(String team) {
        double urgent = 0;
        double other = 0;
        for (Job job : jobs.values()) {
            if (job.spec.team().equals(team)) {
                double cpus = (job.waitingCount + job.live.size()) * job.spec.cpus();
                if (job.spec.priority().compareTo(JobSpec.Priority.HIGH) <= 0) {
                    urgent += cpus;
                } else {
                    other += cpus;
                }
            }
        }
        return new Claim(urgent, other);
    }

    /**
     * The CPUs of the team's largest task in this shard; 0 if there is none. A share of the quota
     * that is smaller than this would be useless.
     */
    double quantum(String team) {
        double most = 0;
        for (Job job : jobs.values()) {
            most = job.spec.team().equals(team) ? Math.max(most, job.spec.cpus()) : most;
        }
        return most;
    }

    /** The summary of this shard for the others. */
    PartHint hint(Fleet fleet) {
        double room = 0;
        int idle = 0;
        for (Machine m : machines.values()) {
            room +=
                    m.state == Machine.State.UP || m.state == Machine.State.BOOTING
                            ? m.cpusFree()
                            : 0;
            idle += fleet.isSurplus(m) ? 1 : 0;
        }
        Map<String, Claim> claims = new HashMap<>();
        for (Job job : jobs.values()) {
            room -= job.waitingCount * job.spec.cpus();
            claims.computeIfAbsent(job.spec.team(), this::claim);
        }
        return new PartHint(room, idle, fleet.machineShortfall(), claims);
    }

    /** The number of machines for which the other shards have no work. */
    int idleElsewhere() {
        int idle = 0;
        for (int m = 0; m < parts; m++) {
            PartHint hint = m == partNumber ? null : others.shardSummary(m);
            idle += hint == null ? 0 : hint.idle();
        }
        return idle;
    }

    /** The number of further machines that another shard could use now. */
    int lacksOf(int part) {
        PartHint hint = others.shardSummary(part);
        return hint == null ? 0 : hint.lacks();
    }

    /** The number of the other shard that could use most machines; -1 if none needs any. */
    int neediest() {
        int best = -1;
        for (int m = 0; m < parts; m++) {
            if (m != partNumber && lacksOf(m) > (best < 0 ? 0 : lacksOf(best))) {
                best = m;
            }
        }
        return best;
    }
}
