package org.shoreusher.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * What really happened to the tasks of a run on stand-ins: where each is, which are complete, what
 * progress each has saved outside its machine, and how much work had to be repeated. Notes a task
 * that is on two machines at once.
 */
public final class TaskHistory {
    private final Map<String, String> machines = new HashMap<>();
    private final Map<String, Double> savedS = new HashMap<>();
    private final Map<String, Double> repeatedS = new HashMap<>();
    private final Map<String, Long> firstStartMs = new HashMap<>();
    private final Set<String> complete = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final TreeSet<Long> startedMs = new TreeSet<>();
    private int starts;
    private int fetches;

    /** A task begins to run; returns the seconds of progress that it goes on from. */
    synchronized double started(String task, String machine) {
        starts++;
        long nowMs = System.nanoTime() / 1_000_000;
        startedMs.add(nowMs);
        firstStartMs.putIfAbsent(task, nowMs);
        String before = machines.put(task, machine);
        if (before != null) {
            violations.add(task + " began on " + machine + " while on " + before);
        }
        return savedS.getOrDefault(task, 0.0);
    }

    /** A task ends; {@code savedProgressS} is what it has saved, the rest is to be repeated. */
    synchronized void ended(String task, String machine, double progressS, double savedProgressS) {
        machines.remove(task, machine);
        savedS.merge(task, savedProgressS, Math::max);
        repeatedS.merge(jobOf(task), Math.max(0, progressS - savedProgressS), Double::sum);
    }

    /** A task has completed. */
    synchronized void completed(String task, String machine) {
        machines.remove(task, machine);
        complete.add(task);
    }

    /** A machine has begun to fetch an image. */
    synchronized void fetched() {
        fetches++;
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    /** Tasks that run now. */
    public synchronized int running() {
        return machines.size();
    }

    /** Tasks that run now on machines that the predicate accepts. */
    public synchronized int runningOn(Predicate<String> wanted) {
        return (int) machines.values().stream().filter(wanted).count();
    }

    /** When each task first began, in ms of {@link System#nanoTime}. */
    public synchronized Map<String, Long> firstStartMs() {
        return new HashMap<>(firstStartMs);
    }

    /** When the first task after a moment began, in ms of {@link System#nanoTime}; -1: none yet. */
    public synchronized long firstStartAfterMs(long afterMs) {
        Long first = startedMs.higher(afterMs);
        return first == null ? -1 : first;
    }

    /** The tasks that have completed. */
    public synchronized Set<String> completeTasks() {
        return new HashSet<>(complete);
    }

    /** How many tasks have completed. */
    public synchronized int complete() {
        return complete.size();
    }

    /** Tasks that have begun to run, repeats included. */
    public synchronized int starts() {
        return starts;
    }

    /** Images that machines have fetched. */
    public synchronized int fetches() {
        return fetches;
    }

    /** Seconds of work that had to be repeated, by job. */
    public synchronized Map<String, Double> repeatedS() {
        return new HashMap<>(repeatedS);
    }

    /** What must never happen and did. */
    public synchronized List<String> violations() {
        return new ArrayList<>(violations);
    }
}
