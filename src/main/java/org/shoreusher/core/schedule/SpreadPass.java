package org.shoreusher.core.schedule;

/**
 * Passes over the machines while a job is placed, in this order. Image locality is weighed against
 * load balance: machines that have the image are filled evenly first, then beyond the limit by the
 * share of a task's run time that fetching the image elsewhere would take; only then are other
 * machines used.
 */
enum SpreadPass {
    /** Machines that have the image, within the limit. */
    IMAGE_WITHIN_LIMIT,
    /** Machines that have the image, beyond the limit by the cost of a fetch. */
    IMAGE_BEYOND_LIMIT,
    /** All machines, within the limit. */
    WITHIN_LIMIT,
    /** All machines without a limit: no task waits for the sake of balance. */
    UNLIMITED
}
