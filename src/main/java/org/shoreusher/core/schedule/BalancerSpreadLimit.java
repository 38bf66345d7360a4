package org.shoreusher.core.schedule;

import org.shoreusher.balance.Balancer;
import org.shoreusher.core.cluster.Machine;
import org.shoreusher.core.message.JobSpec;

/** The limit that the balancer computes; only high-demand teams are limited. */
final class BalancerSpreadLimit implements SpreadLimit {
    private final Balancer balancer;

    BalancerSpreadLimit(Balancer balancer) {
        this.balancer = balancer;
    }

    @Override
    public double maxTeamCpus(Machine machine, JobSpec spec, SpreadPass pass) {
        if (!balancer.isHighDemand(spec.team())) {
            return Double.POSITIVE_INFINITY;
        }
        boolean needsImage = pass != SpreadPass.WITHIN_LIMIT;
        if (needsImage && !machine.cachedImages().contains(spec.image())) {
            return 0;
        }
        double fetchShare =
                pass == SpreadPass.IMAGE_BEYOND_LIMIT
                        ? ImageFetch.shareOfRunTime(machine.type(), spec)
                        : 0;
        return balancer.maxTeamCpus(machine.id(), spec.team(), spec.cpus(), fetchShare);
    }

    @Override
    public double teamCpusUsed(Machine machine, String team) {
        return balancer.load().teamCpusOn(machine.id(), team);
    }
}
