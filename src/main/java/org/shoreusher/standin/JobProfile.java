package org.shoreusher.standin;

/**
 * How the tasks of a job behave on a machine.
 *
 * @param image the image that a machine must fetch before a task runs
 * @param imageFetchS duration of the image fetch in s
 * @param runTimeS run time of a task in s; infinite for a service
 * @param checkpointIntervalS progress in s between periodic checkpoints; 0 if tasks never
 *     checkpoint
 * @param checkpointDurationS duration of the checkpoint of a task that is stopped, in s
 */
public record JobProfile(
        String image,
        double imageFetchS,
        double runTimeS,
        double checkpointIntervalS,
        double checkpointDurationS) {
    /** Tasks that complete as soon as they have started. */
    public static final JobProfile INSTANT = new JobProfile("", 0, 0, 0, 0);

    /** Tasks that run until they are stopped. */
    public static final JobProfile SERVICE = new JobProfile("", 0, Double.POSITIVE_INFINITY, 0, 0);
}
