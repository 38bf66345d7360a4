package org.shoreusher.core.leadership;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Tracks the standby that a shard's record names, the one that it should name, and those that it
 * may still come to name.
 *
 * <p>Every write of the record has the record's version as a precondition. A write without a reply
 * may therefore still be applied, until the store has confirmed a later version of the record;
 * after that it always fails. So a name is possible from just before a write that contains it is
 * sent, until a later version of the record is confirmed.
 */
final class NamedStandby {
    private String desired;
    private String stored;
    private final Set<String> possible = new HashSet<>();

    /** Returns the name that the next write of the record contains; null if none. */
    String desired() {
        return desired;
    }

    /** Sets the name that the next write of the record contains; null for none. */
    void setDesired(String standbyProcess) {
        desired = standbyProcess;
    }

    /** Must be called before a write of the record with this name is sent; null for none. */
    void onWriteSent(String standbyProcess) {
        if (standbyProcess != null) {
            possible.add(standbyProcess);
        }
    }

    /**
     * Must be called when the store has confirmed a version of the record that is later than the
     * one in the precondition of each earlier write.
     *
     * @param standbyProcess the name that this version contains; null if none
     */
    void onRecordConfirmed(String standbyProcess) {
        stored = standbyProcess;
        possible.clear();
        onWriteSent(standbyProcess);
    }

    /**
     * Returns whether the last confirmed version of the record contains the desired name, and at
     * most one name is possible.
     */
    boolean isDesiredStored() {
        return Objects.equals(desired, stored) && possible.size() <= 1;
    }

    /**
     * Returns whether the record names no standby, and no write without a reply can still name one.
     */
    boolean isDefinitelyNone() {
        return possible.isEmpty();
    }
}
