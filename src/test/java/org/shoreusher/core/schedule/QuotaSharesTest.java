package org.shoreusher.core.schedule;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.shoreusher.core.message.GossipMessage.TeamDemand;

/** How a quota is divided between shards. */
class QuotaSharesTest {
    /** A shard without a demand report keeps its share, and urgent demand is served first. */
    @Property(tries = 300, seed = "22")
    void quotaTargetsKeepSilentShardsAndPreferUrgentDemand(@ForAll @LongRange(min = 0) long seed) {
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
        double max = Arrays.stream(shares).sum();
        double[] targets = QuotaTargets.targetShares(max, demands, shares, 1);
        double urgent =
                Arrays.stream(demands)
                        .filter(demand -> demand != null)
                        .mapToDouble(TeamDemand::highPriorityCpus)
                        .sum();
        double withoutReport = 0;
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            withoutReport += demands[shardNumber] == null ? shares[shardNumber] : 0;
        }
        for (int shardNumber = 0; shardNumber < shardCount; shardNumber++) {
            assertTrue(demands[shardNumber] != null || targets[shardNumber] == shares[shardNumber]);
            assertTrue(
                    demands[shardNumber] == null
                            || urgent > max - withoutReport
                            || targets[shardNumber]
                                    >= demands[shardNumber].highPriorityCpus() - 0.5);
        }
        assertTrue(Arrays.stream(targets).sum() <= max + shardCount);
    }
}
