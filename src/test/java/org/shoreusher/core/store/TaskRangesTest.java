package org.shoreusher.core.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.BitSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Sets of task numbers as text. */
class TaskRangesTest {
    @Property(tries = 300, seed = "7")
    void taskRangesSurviveARoundTrip(@ForAll Set<@IntRange(max = 700) Integer> numbers) {
        BitSet set = new BitSet();
        numbers.forEach(set::set);
        assertEquals(set, TaskRanges.parse(TaskRanges.format(set)));
    }
}
