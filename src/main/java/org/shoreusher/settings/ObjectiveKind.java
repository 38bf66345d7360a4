package org.shoreusher.settings;

/** What a service-level objective limits. */
public enum ObjectiveKind {
    /** Tasks start within a time after the submission of their job. */
    WAIT("wait"),
    /** Jobs complete within a time after their submission. */
    FINISHED("finished"),
    /** Jobs complete within the deadline that their user gives, times a factor. */
    DEADLINE("deadline"),
    /** Tasks within a team's guaranteed share start within a time. */
    GUARANTEE("guarantee"),
    /** A kind that this version does not support; objectives of this kind are ignored. */
    UNKNOWN("");

    private final String settingsName;

    ObjectiveKind(String settingsName) {
        this.settingsName = settingsName;
    }

    /** The kind with this name in the settings file; {@link #UNKNOWN} for any other name. */
    static ObjectiveKind fromSettings(String name) {
        for (ObjectiveKind kind : values()) {
            if (kind.settingsName.equals(name)) {
                return kind;
            }
        }
        return UNKNOWN;
    }
}
