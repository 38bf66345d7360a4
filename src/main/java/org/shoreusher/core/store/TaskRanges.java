package org.shoreusher.core.store;

import java.util.BitSet;

/** The compact text format of a set of task indexes: ranges such as {@code 0-4,7}. */
public final class TaskRanges {
    private TaskRanges() {}

    /** Formats a set as ranges in ascending order; an empty set gives an empty text. */
    public static String format(BitSet taskIndexes) {
        StringBuilder text = new StringBuilder();
        for (int from = taskIndexes.nextSetBit(0); from >= 0; ) {
            int end = taskIndexes.nextClearBit(from);
            if (text.length() > 0) {
                text.append(',');
            }
            text.append(from);
            if (end - from > 1) {
                text.append('-').append(end - 1);
            }
            from = taskIndexes.nextSetBit(end);
        }
        return text.toString();
    }

    /**
     * Parses a text that {@link #format} has returned.
     *
     * @throws NumberFormatException if the text has another format
     */
    public static BitSet parse(String text) {
        BitSet taskIndexes = new BitSet();
        if (text.isEmpty()) {
            return taskIndexes;
        }
        for (String range : text.split(",", -1)) {
            int dash = range.indexOf('-');
            int first = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
            taskIndexes.set(
                    first, 1 + (dash < 0 ? first : Integer.parseInt(range.substring(dash + 1))));
        }
        return taskIndexes;
    }
}
