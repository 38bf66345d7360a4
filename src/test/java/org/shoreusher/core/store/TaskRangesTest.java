package org.shoreusher.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.BitSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Formatting sets of task indexes as ranges. */
class TaskRangesTest {
    @Property(tries = 300, seed = "7")
    void formattedSetParsesToTheSameSet(@ForAll Set<@IntRange(max = 700) Integer> taskIndexes) {
        BitSet set = new BitSet();
        taskIndexes.forEach(set::set);
        assertEquals(set, TaskRanges.parse(TaskRanges.format(set)));
    }
}
