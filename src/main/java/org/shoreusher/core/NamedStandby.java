package org.shoreusher.core;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Which standby a part's record names, wants to name, or may yet come to name.
 *
 * <p>Every write of the record is guarded by the record's version. So a write without an answer may
 * still be applied until the version is known to have moved on, and then never. A name may stand
 * from just before the write that holds it is sent until a later version of the record is known.
 */
final class NamedStandby {
    private String wanted;
    private String known;
    private final Set<String> mayStand = new HashSet<>();

    /** The name that the next write of the record holds; null: none. */
    String wanted() {
        return wanted;
    }

    /** Lets the next write of the record hold this name; null: none. */
    void want(String process) {
        wanted = process;
    }

    /** A write of the record with this name is about to be sent. */
    void sending(String process) {
        if (process != null) {
            mayStand.add(process);
        }
    }

    /** The record is known to hold this name at a version that no earlier write can change. */
    void settled(String process) {
        known = process;
        mayStand.clear();
        sending(process);
    }

    /** Whether the record is known to hold the wanted name. */
    boolean asWanted() {
        return Objects.equals(wanted, known) && mayStand.size() <= 1;
    }

    /** Whether no name stands, and none can come to stand by a write that was sent. */
    boolean surelyNone() {
        return mayStand.isEmpty();
    }
}
