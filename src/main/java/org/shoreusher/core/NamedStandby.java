package org.shoreusher.core;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Tracks which standby a shard's record names, should name, or may yet come to name.
 *
 * <p>Every write of the record has the record's version as a precondition. A write without an
 * answer may therefore still be applied until a later version of the record is known, and never
 * afterwards. So a name is possible from just before the write that contains it is sent, until a
 * later version of the record is known.
 */
final class NamedStandby {
    private String wanted;
    private String known;
    private final Set<String> mayStand = new HashSet<>();

    /** The name that the next write of the record contains; null: none. */
    String wanted() {
        return wanted;
    }

    /** Sets the name that the next write of the record contains; null: none. */
    void want(String process) {
        wanted = process;
    }

    /** Records that a write of the record with this name is about to be sent; null: none. */
    void sending(String process) {
        if (process != null) {
            mayStand.add(process);
        }
    }

    /**
     * Records that the record contains this name at a version that no earlier write can change;
     * null: none.
     */
    void settled(String process) {
        known = process;
        mayStand.clear();
        sending(process);
    }

    /** Returns whether the record is known to contain the desired name. */
    boolean asWanted() {
        return Objects.equals(wanted, known) && mayStand.size() <= 1;
    }

    /** Returns whether the record names no standby and no write in flight can still name one. */
    boolean surelyNone() {
        return mayStand.isEmpty();
    }
}
