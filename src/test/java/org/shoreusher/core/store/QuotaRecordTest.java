package org.shoreusher.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Splitting a team's quota into shares, and reading them back. */
class QuotaRecordTest {
    @Property(tries = 300, seed = "21")
    void quotaSharesSumToTheLimit(
            @ForAll @IntRange(max = 500) int limit,
            @ForAll @IntRange(min = 1, max = 5) int shardCount) {
        QuotaRecord record = QuotaRecord.splitEvenly(limit, 0, shardCount);
        assertEquals(limit, Arrays.stream(record.cpus()).sum(), 1e-9);
        assertTrue(Arrays.stream(record.cpus()).allMatch(share -> share >= 0));
        QuotaRecord read = QuotaRecord.fromMap(record.toMap(), shardCount);
        assertTrue(Arrays.equals(record.cpus(), read.cpus()));
        // Shares for another number of shards are read as zeros.
        assertEquals(
                0, Arrays.stream(QuotaRecord.fromMap(record.toMap(), shardCount + 1).cpus()).sum());
    }
}
