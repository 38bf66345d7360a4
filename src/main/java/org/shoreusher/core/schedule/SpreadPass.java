package org.shoreusher.core.schedule;

/**
 * The passes over the machines in which a job is placed under a {@link SpreadLimit}, in this order.
 * They weigh image locality against load balance: machines that have the image are filled first up
 * to the limit, then beyond it by the share of a task's time that fetching the image elsewhere
 * would take. Only then are other machines used.
 */
enum SpreadPass {
    /** Machines that have the image, within the limit. */
    IMAGE_WITHIN_LIMIT,
    /** Machines that have the image, with the limit raised by the cost of a fetch. */
    IMAGE_BEYOND_LIMIT,
    /** All machines, within the limit. */
    WITHIN_LIMIT,
    /** All machines without a limit: no task stays pending only for the sake of balance. */
    UNLIMITED
}
