package org.shoreusher.core.store;

/** The status of a job in its stored record. */
public enum JobStatus {
    OPEN,
    DONE,
    CANCELLED
}
