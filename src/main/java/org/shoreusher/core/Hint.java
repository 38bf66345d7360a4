package org.shoreusher.core;

import java.util.Map;

/**
 * What peers tell each other: room and waiting work of the parts they hold, counts of their jobs for
 * display, and whether the state service answers them. No rule rests on a hint.
 *
 * @param from    the telling node
 * @param stateOk whether the state service has answered it lately
 * @param room    free CPUs less waiting ones, by part
 * @param running running tasks by job, for display
 * @param done    finished tasks by job, for display
 */
public record Hint(String from, boolean stateOk, Map<Integer, Double> room, Map<String, Integer> running,
                   Map<String, Integer> done) {
}
