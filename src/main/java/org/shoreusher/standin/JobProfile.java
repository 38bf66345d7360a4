package org.shoreusher.standin;

/**
 * How the tasks of a job behave on a machine.
 *
 * @param image the image that a machine must have before a task runs
 * @param fetchS seconds that a machine takes to fetch it
 * @param runS seconds that a task runs; infinite for a service
 * @param saveEveryS seconds of progress after which a task saves by itself; 0: it never saves
 * @param saveS seconds that a task takes to save when it is stopped
 */
public record JobProfile(
        String image, double fetchS, double runS, double saveEveryS, double saveS) {
    /** Tasks that are done at once. */
    public static final JobProfile INSTANT = new JobProfile("", 0, 0, 0, 0);

    /** Tasks that run until they are stopped. */
    public static final JobProfile SERVICE = new JobProfile("", 0, Double.POSITIVE_INFINITY, 0, 0);
}
