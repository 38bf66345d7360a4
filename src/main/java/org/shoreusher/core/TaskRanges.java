package org.shoreusher.core;

import java.util.BitSet;

/** The compact text form of a set of task indexes: ranges such as {@code 0-4,7}. */
public final class TaskRanges {
    private TaskRanges() {}

    /** Formats a set as ranges in ascending order; the empty set gives an empty text. */
    public static String format(BitSet set) {
        StringBuilder out = new StringBuilder();
        for (int from = set.nextSetBit(0); from >= 0; ) {
            int end = set.nextClearBit(from);
            if (out.length() > 0) {
                out.append(',');
            }
            out.append(from);
            if (end - from > 1) {
                out.append('-').append(end - 1);
            }
            from = set.nextSetBit(end);
        }
        return out.toString();
    }

    /**
     * Parses a text that {@link #format} has made.
     *
     * @throws NumberFormatException if the text has another form
     */
    public static BitSet parse(String text) {
        BitSet set = new BitSet();
        if (text.isEmpty()) {
            return set;
        }
        for (String range : text.split(",")) {
            int dash = range.indexOf('-');
            int from = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
            set.set(from, 1 + (dash < 0 ? from : Integer.parseInt(range.substring(dash + 1))));
        }
        return set;
    }
}
