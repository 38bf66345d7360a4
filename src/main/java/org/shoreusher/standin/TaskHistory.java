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
 * Ground truth about all tasks of a run on stand-ins: the machine of each running task, completed
 * tasks, checkpointed progress, and repeated work. Records a violation when a task runs on two
 * machines at once. Thread-safe.
 */
public final class TaskHistory {
    private final Map<String, String> machines = new HashMap<>();
    private final Map<String, Double> savedS = new HashMap<>();
    private final Map<String, Double> repeatedWorkSByJob = new HashMap<>();
    private final Map<String, Long> firstStartMsByTask = new HashMap<>();
    private final Set<String> complete = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final TreeSet<Long> startedMs = new TreeSet<>();
    private int startCount;
    private int imageFetchCount;

    /** Records that a task starts to run; returns the checkpointed progress in s. */
    synchronized double recordStart(String task, String machine) {
        startCount++;
        long nowMs = System.nanoTime() / 1_000_000;
        startedMs.add(nowMs);
        firstStartMsByTask.putIfAbsent(task, nowMs);
        String before = machines.put(task, machine);
        if (before != null) {
            violations.add(task + " began on " + machine + " while on " + before);
        }
        return savedS.getOrDefault(task, 0.0);
    }

    /** Records that a task has stopped; progress in s beyond its checkpoint must be repeated. */
    synchronized void recordEnd(
            String task, String machine, double progressS, double savedProgressS) {
        machines.remove(task, machine);
        savedS.merge(task, savedProgressS, Math::max);
        repeatedWorkSByJob.merge(jobOf(task), Math.max(0, progressS - savedProgressS), Double::sum);
    }

    /** Records that a task has completed. */
    synchronized void recordCompletion(String task, String machine) {
        machines.remove(task, machine);
        complete.add(task);
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
        return machines.size();
    }

    /** Number of running tasks on matching machines. */
    public synchronized int runningCountOn(Predicate<String> wanted) {
        return (int) machines.values().stream().filter(wanted).count();
    }

    /** When each task first started, as {@link System#nanoTime} in ms. */
    public synchronized Map<String, Long> firstStartMsByTask() {
        return new HashMap<>(firstStartMsByTask);
    }

    /** Time of the first start after a point in time, as System.nanoTime in ms; -1 if none. */
    public synchronized long firstStartAfterMs(long afterMs) {
        Long first = startedMs.higher(afterMs);
        return first == null ? -1 : first;
    }

    /** The completed tasks. */
    public synchronized Set<String> completedTasks() {
        return new HashSet<>(complete);
    }

    /** Number of completed tasks. */
    public synchronized int completedCount() {
        return complete.size();
    }

    /** Number of starts, including restarts. */
    public synchronized int startCount() {
        return startCount;
    }

    /** Number of image fetches. */
    public synchronized int imageFetchCount() {
        return imageFetchCount;
    }

    /** Repeated work in s, by job. */
    public synchronized Map<String, Double> repeatedWorkSByJob() {
        return new HashMap<>(repeatedWorkSByJob);
    }

    /** Violations of the rule that a task runs on one machine at a time. */
    public synchronized List<String> violations() {
        return new ArrayList<>(violations);
    }
}
