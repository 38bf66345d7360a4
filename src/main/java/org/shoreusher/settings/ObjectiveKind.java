package org.shoreusher.settings;

/** What a service-level objective is about. */
public enum ObjectiveKind {
    /** Tasks start within a time after the submission. */
    WAIT("wait"),
    /** Jobs are done within a time after the submission. */
    FINISHED("finished"),
    /** Jobs are done within a factor of the deadline that their user gives. */
    DEADLINE("deadline"),
    /** Tasks within a team's guaranteed share start within a time. */
    GUARANTEE("guarantee"),
    /** A kind that this version does not know, and which is ignored. */
    UNKNOWN("");

    private final String settingsName;

    ObjectiveKind(String settingsName) {
        this.settingsName = settingsName;
    }

    /** The kind with this name in the settings file. */
    static ObjectiveKind fromSettings(String name) {
        for (ObjectiveKind kind : values()) {
            if (kind.settingsName.equals(name)) {
                return kind;
            }
        }
        return UNKNOWN;
    }
}
