package org.shoreusher.core;

import java.util.Map;

/**
 * What peers tell each other. No rule rests on a hint: a wrong or old one costs time, never a
 * promise.
 *
 * @param from the telling node
 * @param sentWallMs when it was sent, by the sender's time of day
 * @param stateOk whether the state service has answered it lately
 * @param upS seconds since the telling process started
 * @param parts the parts it holds
 * @param back by part, workers that the part's owner has answered and that have come to this node
 *     since
 * @param running running tasks by job, for display
 * @param done finished tasks by job, for display
 */
public record Hint(
        String from,
        long sentWallMs,
        boolean stateOk,
        double upS,
        Map<Integer, PartHint> parts,
        Map<Integer, Integer> back,
        Map<String, Integer> running,
        Map<String, Integer> done) {

    /**
     * How a part stands.
     *
     * @param room free CPUs less those that waiting tasks want
     * @param idle machines that it has nothing to do for
     * @param lacks machines that it would rent now
     * @param claims what its tasks use and want of their teams' limits
     */
    public record PartHint(double room, int idle, int lacks, Map<String, Claim> claims) {}

    /** CPUs that a team's tasks use or wait for: those of high priority, and the others. */
    public record Claim(double urgent, double other) {}
}
