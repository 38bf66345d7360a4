package org.shoreusher.core.store;

/** The durable status of a job. */
public enum JobStatus {
    OPEN,
    DONE,
    CANCELLED
}
