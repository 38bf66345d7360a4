import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The rules of the protocol, as users, workers and the cloud can see them. */
final class Checker {
    private final World world;
    final Set<String> completed = ConcurrentHashMap.newKeySet();
    /** By task, the machine that it is on. */
    private final Map<String, Worker> on = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    int starts;

    Checker(World world) {
        this.world = world;
    }

    synchronized void violation(String what) {
        violations.add(what);
        world.log("VIOLATION " + what);
    }

    /** By time since the confirmation of the job's cancellation, in s: start orders given later. */
    final List<Double> orderedAfterCancellation = new ArrayList<>();

    /** A start order in the answer to a report that was sent at a time. */
    synchronized void ordered(String sheet, String machine, long reportSentNs) {
        World.Job job = world.jobOf(sheet);
        if (job != null && job.cancelledToldNs > 0 && reportSentNs > job.cancelledToldNs) {
            double s = (reportSentNs - job.cancelledToldNs) / 1e9;
            orderedAfterCancellation.add(s);
            world.log(
                    "start order for "
                            + sheet
                            + " to "
                            + machine
                            + " in answer to a report sent "
                            + s
                            + " s after the confirmed cancellation");
        }
    }

    synchronized void started(String sheet, long attempt, Worker w) {
        starts++;
        world.record("starts " + sheet + "#" + attempt + " on " + w.id);
        Worker other = on.get(sheet);
        if (other != null && other != w) {
            violation("ran_twice: " + sheet + " starts on " + w.id + " while it is on " + other.id);
        }
        World.Job job = world.jobOf(sheet);
        if (job.yard != null && !job.yard.equals(w.zone)
                || (!job.loaners && w.loaners)
                || (job.presses != null && !job.presses.contains(w.flavor.sku()))) {
            violation("wrong_place: " + sheet + " on " + w.id);
        }
        Map<String, Integer> zones = new TreeMap<>();
        for (Map.Entry<String, Worker> e : on.entrySet()) {
            if (world.jobOf(e.getKey()) == job && !e.getKey().equals(sheet)) {
                zones.merge(e.getValue().zone, 1, Integer::sum);
            }
        }
        if (job.oneZone && !zones.isEmpty() && !zones.keySet().equals(Set.of(w.zone))) {
            violation("wrong_place: " + sheet + " in " + w.zone + ", others in " + zones);
        }
        if (job.scatter && zones.getOrDefault(w.zone, 0) + 1 > (job.sheets + 1) / 2) {
            violation("wrong_place: " + sheet + " scatter in " + w.zone + " " + zones);
        }
        on.put(sheet, w);
        double cpus = 0;
        for (String s : on.keySet()) {
            World.Job o = world.jobOf(s);
            cpus += o.crew.equals(job.crew) ? o.cpus : 0;
        }
        Double max = world.teams.get(job.crew);
        if (max != null && cpus > max + 1e-6) {
            violation("quota: " + job.crew + " uses " + cpus + " of " + max);
        }
        checkCancelled(sheet, w, true);
    }

    private void checkCancelled(String sheet, Worker w, boolean starts) {
        World.Job job = world.jobOf(sheet);
        if (job.cancelledToldNs > 0
                && System.nanoTime() - job.cancelledToldNs > world.cancelS * 1e9) {
            violation("ran_cancelled: " + sheet + (starts ? " starts" : " is") + " on " + w.id);
        }
    }

    synchronized void left(String sheet, String machine) {
        Worker w = on.get(sheet);
        if (w != null && w.id.equals(machine)) {
            on.remove(sheet);
        }
    }

    synchronized int running() {
        return on.size();
    }

    synchronized String machineOf(String sheet) {
        Worker w = on.get(sheet);
        return w == null ? null : w.id;
    }

    synchronized void checkAll() {
        for (Map.Entry<String, Worker> e : on.entrySet()) {
            World.Job job = world.jobOf(e.getKey());
            if (job.cancelledToldNs > 0 && !job.reportedLate) {
                int before = violations.size();
                checkCancelled(e.getKey(), e.getValue(), false);
                job.reportedLate = violations.size() > before;
            }
        }
    }

    /** An answer with status 200 or 201 about a job. */
    synchronized void answered(World.Job job, String status, String by) {
        if (status == null) {
            return;
        }
        if (job.told != null && !job.told.equals(status)
                && (job.told.equals("done") || job.told.equals("aborted"))) {
            violation("went_back: " + job.id + " was " + job.told + ", now " + status + " by " + by);
        }
        if (status.equals("aborted") && !job.askedToCancel) {
            violation("went_back: " + job.id + " is aborted, but nobody cancelled it");
        }
        if (status.equals("done")) {
            for (int i = 0; i < job.sheets; i++) {
                if (!completed.contains(job.id + "/" + i)) {
                    violation("not_done: " + job.id + " is called done before task " + i);
                    break;
                }
            }
        }
        job.told = status;
        if (status.equals("aborted") && job.cancelledToldNs == 0) {
            job.cancelledToldNs = System.nanoTime();
        }
    }
}
