package review;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A rental is held up on its way for 3.7 s and then carried out and answered. The new machine gets tasks. A list that
 * lags by less than twice list_lag_s does not show the machine yet.
 */
final class LateRental extends Case {
    private static final double HELD_S = 3.7;
    private static final double LONGEST_LAG_S = 9.9;
    private static final String FIRST_JOB = "wk-000001";
    private static final String SECOND_JOB = "wk-000002";
    private final Map<String, String> machineOf = new ConcurrentHashMap<>();
    private final List<String> broken = new CopyOnWriteArrayList<>();
    private volatile boolean holdNext;
    private volatile long sentNs;
    private volatile long listAnsweredNs = System.nanoTime();

    public static void main(String[] args) {
        Case.main(new LateRental(), args);
    }

    @Override
    Cluster.Settings settings() {
        return Cluster.Settings.prairie(4);
    }

    @Override
    Worker.Jobs jobs() {
        return new Worker.Jobs() {
            @Override
            public long runMs(String sheet) {
                return sheet.startsWith(FIRST_JOB) ? 18_000 : 60_000;
            }

            @Override
            public void command(Worker worker, String verb, String sheet, long attempt, int node, long sentNs) {
                cluster.note("worker " + worker.box + ": " + verb + " " + sheet + " try " + attempt + " from "
                        + Cluster.host(node));
            }

            @Override
            public void answered(Worker worker, int node, int status, long reportSentNs) {
                cluster.note("worker " + worker.box + ": report to " + Cluster.host(node) + " answered with "
                        + (status == 0 ? "nothing" : status));
            }

            @Override
            public void task(Worker worker, String sheet, boolean on, String why) {
                cluster.note("worker " + worker.box + ": " + sheet + (on ? " is on it: " : " is gone: ") + why);
                if (!on) {
                    machineOf.remove(sheet, worker.box);
                    return;
                }
                String other = machineOf.put(sheet, worker.box);
                if (other != null) {
                    String text = sheet + " starts on " + worker.box + " while it is on " + other;
                    cluster.note("BROKEN ran_twice: " + text);
                    broken.add(text);
                }
            }
        };
    }

    /** Holds up one rental, and answers requests for the list so late that one is sent 13.3 s after the rental. */
    private final class Held extends Cloud.Delays {
        private volatile boolean longest;

        @Override
        void beforeRental(String hire) throws InterruptedException {
            if (holdNext) {
                holdNext = false;
                sentNs = System.nanoTime();
                cluster.note("network: rental " + hire + " is held up" + (trouble ? " for " + HELD_S + " s" : ": not now"));
                if (trouble) {
                    Thread.sleep((long) (HELD_S * 1_000));
                }
            }
        }

        @Override
        void beforeList() throws InterruptedException {
            double sinceS = sentNs == 0 ? -1 : (System.nanoTime() - sentNs) / 1e9;
            longest = sinceS > 12 && sinceS < 15;
            if (sinceS >= 0) {
                cluster.note("cloud: the list is asked for %.3f s after the rental was sent".formatted(sinceS));
                double untilS = sinceS < 3.25 ? 3.25 : sinceS < 8.25 ? 8.25 : sinceS;
                if (untilS - sinceS < 3.5) {
                    Thread.sleep((long) ((untilS - sinceS) * 1_000));
                }
            }
            listAnsweredNs = System.nanoTime();
        }

        @Override
        void listed(double lagS, Http.Response answer) {
            if (sentNs != 0) {
                cluster.note("cloud: list of %.1f s before: %s".formatted(lagS, Http.maps(answer.body().get("boxes"))
                        .stream().map(box -> (String) box.get("name_id")).toList()));
            }
        }

        @Override
        double listLagS() {
            return longest ? LONGEST_LAG_S : Cloud.LIST_LAG_S;
        }
    }

    @Override
    String run() throws Exception {
        cluster.cloud.delays = new Held();
        Balancer users = new Balancer(cluster);
        require(users.submit("user", Cluster.job(FIRST_JOB, "drafting-crew", 2, 2, "plans")).status() == 201,
                "the first job is not accepted");
        require(await(20, () -> machineOf.size() == 2), "the first job does not run");
        // The second job comes 2 s after an answered list, so that the lists can be timed from then on.
        long before = listAnsweredNs;
        require(await(8, () -> listAnsweredNs != before), "no list is read");
        Thread.sleep(1_800);
        holdNext = true;
        require(users.submit("user", Cluster.job(SECOND_JOB, "drafting-crew", 2, 2, "plans")).status() == 201,
                "the second job is not accepted");
        require(await(20, () -> machineOf.containsKey(SECOND_JOB + "/0") && machineOf.containsKey(SECOND_JOB + "/1")),
                "the second job does not run");
        Thread.sleep(30_000);
        return broken.isEmpty() ? null : "ran_twice: " + String.join("; ", broken);
    }
}
