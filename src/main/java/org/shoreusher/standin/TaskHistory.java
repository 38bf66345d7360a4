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
 * What the tasks on all stand-in workers have done: the machine of each running task, completed
 * tasks, checkpointed progress, and repeated work. Records a violation if a task runs on two
 * machines at once. Thread-safe.
 */
public final class TaskHistory {
    private final Map<String, String> machineByTask = new HashMap<>();
    private final Map<String, Double> checkpointedSByTask = new HashMap<>();
    private final Map<String, Double> repeatedWorkSByJob = new HashMap<>();
    private final Map<String, Long> firstStartMsByTask = new HashMap<>();
    private final Set<String> completed = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final TreeSet<Long> startTimesMs = new TreeSet<>();
    private int startCount;
    private int imageFetchCount;

    /** Records that a task starts to run; returns the checkpointed progress in s. */
    synchronized double recordStart(String task, String machine) {
        startCount++;
        long nowMs = System.nanoTime() / 1_000_000;
        startTimesMs.add(nowMs);
        firstStartMsByTask.putIfAbsent(task, nowMs);
        String previousMachine = machineByTask.put(task, machine);
        if (previousMachine != null) {
            violations.add(
                    task + " started on " + machine + " while running on " + previousMachine);
        }
        return checkpointedSByTask.getOrDefault(task, 0.0);
    }

    /**
     * Records that a task has ended before its completion. The difference between its progress and
     * its checkpointed progress, both in s, is work that must be repeated.
     */
    synchronized void recordEnd(
            String task, String machine, double progressS, double checkpointedProgressS) {
        machineByTask.remove(task, machine);
        checkpointedSByTask.merge(task, checkpointedProgressS, Math::max);
        repeatedWorkSByJob.merge(
                jobOf(task), Math.max(0, progressS - checkpointedProgressS), Double::sum);
    }

    /** Records that a task has completed. */
    synchronized void recordCompletion(String task, String machine) {
        machineByTask.remove(task, machine);
        completed.add(task);
    }

    /** Records that a machine has started to fetch an image. */
    synchronized void recordImageFetch() {
        imageFetchCount++;
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    /** Number of running tasks. */
    public synchronized int runningCount() {
        return machineByTask.size();
    }

    /** Number of running tasks on the machines that match. */
    public synchronized int runningCountOn(Predicate<String> matches) {
        return (int) machineByTask.values().stream().filter(matches).count();
    }

    /** Time of the first start of each task, as {@link System#nanoTime} in ms. */
    public synchronized Map<String, Long> firstStartMsByTask() {
        return new HashMap<>(firstStartMsByTask);
    }

    /** Time of the first start of any task after a point in time, both as nanoTime in ms; or -1. */
    public synchronized long firstStartAfterMs(long afterMs) {
        Long first = startTimesMs.higher(afterMs);
        return first == null ? -1 : first;
    }

    /** The completed tasks. */
    public synchronized Set<String> completedTasks() {
        return new HashSet<>(completed);
    }

    /** Number of completed tasks. */
    public synchronized int completedCount() {
        return completed.size();
    }

    /** Number of starts, including restarts. */
    public synchronized int startCount() {
        return startCount;
    }

    /** Number of image fetches. */
    public synchronized int imageFetchCount() {
        return imageFetchCount;
    }

    /** Work in s that must be repeated because of interruptions, by job. */
    public synchronized Map<String, Double> repeatedWorkSByJob() {
        return new HashMap<>(repeatedWorkSByJob);
    }

    /** Violations of the invariant that a task runs on at most one machine at a time. */
    public synchronized List<String> violations() {
        return new ArrayList<>(violations);
    }
}
