package org.shoreusher.core.schedule;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.message.GossipMessage.TeamDemand;

/** Tests the target shares of shards in a team's quota. */
class QuotaTargetsTest {
    private static final double QUANTUM_CPUS = 1;

    /** A shard without recent gossip keeps its share, and high-priority demand is granted first. */
    @Property(tries = 300, seed = "22")
    void keepsSharesWithoutGossipAndPrefersHighPriorityDemand(
            @ForAll @LongRange(min = 0) long seed) {
        Random random = new Random(seed);
        int shardCount = 2 + random.nextInt(2);
        double[] shares = new double[shardCount];
        TeamDemand[] demands = new TeamDemand[shardCount];
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            shares[shardNumber] = random.nextInt(40);
            demands[shardNumber] =
                    random.nextInt(4) == 0
                            ? null
                            : new TeamDemand(random.nextInt(30), random.nextInt(60));
        }
        double quotaCpus = Arrays.stream(shares).sum();
        double[] targets = QuotaTargets.targetShares(quotaCpus, demands, shares, QUANTUM_CPUS);
        double highPriorityCpus =
                Arrays.stream(demands)
                        .filter(demand -> demand != null)
                        .mapToDouble(TeamDemand::highPriorityCpus)
                        .sum();
        double sharesWithoutGossip = 0;
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            sharesWithoutGossip += demands[shardNumber] == null ? shares[shardNumber] : 0;
        }
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            assertTrue(demands[shardNumber] != null || targets[shardNumber] == shares[shardNumber]);
            assertTrue(
                    demands[shardNumber] == null
                            || highPriorityCpus > quotaCpus - sharesWithoutGossip
                            || targets[shardNumber]
                                    >= demands[shardNumber].highPriorityCpus() - 0.5);
        }
        // Targets are rounded to multiples of the quantum, so each exceeds its exact value by at
        // most half a CPU.
        assertTrue(Arrays.stream(targets).sum() <= quotaCpus + shardCount);
    }
}
