package org.shoreusher.core;

import java.util.HashMap;
import java.util.Map;
import org.shoreusher.core.Hint.Claim;
import org.shoreusher.core.Hint.PartHint;

/** How a part stands beside the others: what it tells them, and what their hints tell of them. */
final class OtherParts {
    private final int partNumber;
    private final int parts;
    private final Part.Others others;
    private final Map<String, Job> jobs;
    private final Map<String, Machine> machines;

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

    /** CPUs of a team's limit that the other parts use or want. */
    double claimed(String team) {
        double cpus = 0;
        for (int m = 0; m < parts; m++) {
            PartHint hint = m == partNumber ? null : others.hint(m);
            Claim claim = hint == null ? null : hint.claims().get(team);
            cpus += claim == null ? 0 : claim.urgent() + claim.other();
        }
        return cpus;
    }

    /** What each part's tasks use and want of a team's limit; null where no fresh hint tells. */
    Claim[] claims(String team) {
        Claim[] claims = new Claim[parts];
        for (int m = 0; m < parts; m++) {
            PartHint hint = m == partNumber ? null : others.hint(m);
            claims[m] =
                    m == partNumber
                            ? claim(team)
                            : hint == null
                                    ? null
                                    : hint.claims().getOrDefault(team, new Claim(0, 0));
        }
        return claims;
    }

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
     * The largest step in which tasks of a team use CPUs, so that shares are not cut into useless
     * bits.
     */
    double quantum(String team) {
        double most = 0;
        for (Job job : jobs.values()) {
            most = job.spec.team().equals(team) ? Math.max(most, job.spec.cpus()) : most;
        }
        return most;
    }

    /** What the other parts are told of this one. */
    PartHint hint(Fleet fleet) {
        double room = 0;
        int idle = 0;
        for (Machine m : machines.values()) {
            room +=
                    m.state == Machine.State.UP || m.state == Machine.State.BOOTING
                            ? m.cpusFree()
                            : 0;
            idle += fleet.spare(m) ? 1 : 0;
        }
        Map<String, Claim> claims = new HashMap<>();
        for (Job job : jobs.values()) {
            room -= job.waitingCount * job.spec.cpus();
            claims.computeIfAbsent(job.spec.team(), this::claim);
        }
        return new PartHint(room, idle, fleet.lacks(), claims);
    }

    /** Machines that the other parts have nothing to do for. */
    int idleElsewhere() {
        int idle = 0;
        for (int m = 0; m < parts; m++) {
            PartHint hint = m == partNumber ? null : others.hint(m);
            idle += hint == null ? 0 : hint.idle();
        }
        return idle;
    }

    /** Machines that another part could fill at once. */
    int lacksOf(int part) {
        PartHint hint = others.hint(part);
        return hint == null ? 0 : hint.lacks();
    }

    /** The other part that could fill most machines, or -1. */
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
