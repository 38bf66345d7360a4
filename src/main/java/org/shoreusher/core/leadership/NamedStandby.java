package org.shoreusher.core.leadership;

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
    private String desired;
    private String stored;
    private final Set<String> possible = new HashSet<>();

    /** The name that the next write of the record contains; null: none. */
    String desired() {
        return desired;
    }

    /** Sets the name that the next write of the record contains; null: none. */
    void setDesired(String standbyProcess) {
        desired = standbyProcess;
    }

    /** Records that a write of the record with this name is about to be sent; null: none. */
    void onWriteSent(String standbyProcess) {
        if (standbyProcess != null) {
            possible.add(standbyProcess);
        }
    }

    /**
     * Records that the record contains this name at a version that no earlier write can change;
     * null: none.
     */
    void onRecordConfirmed(String standbyProcess) {
        stored = standbyProcess;
        possible.clear();
        onWriteSent(standbyProcess);
    }

    /** Returns whether the record is known to contain the desired name. */
    boolean isDesiredStored() {
        return Objects.equals(desired, stored) && possible.size() <= 1;
    }

    /** Returns whether the record names no standby and no write in flight can still name one. */
    boolean isDefinitelyNone() {
        return possible.isEmpty();
    }
}
