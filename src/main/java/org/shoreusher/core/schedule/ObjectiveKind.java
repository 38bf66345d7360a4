package org.shoreusher.core.schedule;

/**
 * The kinds of service-level objectives that scheduling takes into account, as the settings name
 * them. Objectives of other kinds are ignored.
 */
final class ObjectiveKind {
    /** Tasks start within the given time. */
    static final String WAIT = "wait";

    /** Jobs finish within a multiple of the deadline that their users gave. */
    static final String DEADLINE = "deadline";

    /** Jobs finish within the given time. */
    static final String FINISHED = "finished";

    /** Jobs within the guaranteed capacity of their team start fully within the given time. */
    static final String GUARANTEE = "guarantee";

    private ObjectiveKind() {}
}
