import java.nio.file.Path;

/** The state service refuses the leader alone; a user cancels a job through another controller. */
final class CancelBesideStaleLeader {
    /**
     * Only starts in answers to reports sent so long after the confirmation are counted, in s. Without
     * trouble the leader knows of a cancellation within a fraction of this.
     */
    private static final double COUNTED_AFTER_S = 1;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (World w = new World("athens-print-coop", 5, Path.of(args[0]))) {
            exit = run(w, trouble);
        }
        System.exit(exit);
    }

    private static int run(World w, boolean trouble) throws Exception {
        w.cloud.defaultCapacity = 1;
        w.startAll();
        if (!w.awaitReady(30)) {
            return 2;
        }
        World.Job job = new World.Job();
        job.id = "wk-000412";
        job.queue = "daily-imposition";
        job.crew = "prepress-guild-1";
        job.sheets = 500;
        job.cpus = 2;
        job.memGb = 3.3;
        job.runS = 2;
        if (!w.submit(job) || !w.await("150 tasks have started", 60, () -> w.checker.starts > 150)) {
            return 2;
        }
        World.Node leader = w.leader();
        if (leader == null) {
            return 2;
        }
        if (trouble) {
            w.log("the state service refuses " + leader.host + " alone");
            w.store.refused = leader.host;
        }
        World.sleep(300);
        World.Node other = w.nodes.get((w.nodes.indexOf(leader) + 1) % w.nodes.size());
        job.askedToCancel = true;
        for (int i = 0; i < 5 && job.cancelledToldNs == 0; i++) {
            Http.Response r = w.call(other, "POST", "/v2/runs/wk-000412/cancel", java.util.Map.of(), 5000);
            w.log("cancel at " + other.host + ": " + r.status() + " " + r.body());
            if (r.status() == 200) {
                w.checker.answered(job, r.text("status"), other.host);
            }
        }
        if (!"aborted".equals(job.told)) {
            return 2;
        }
        w.sleepS(25);
        w.store.refused = null;
        w.sleepS(3);
        long counted;
        synchronized (w.checker) {
            counted =
                    w.checker.orderedAfterCancellation.stream()
                            .filter(s -> s > COUNTED_AFTER_S)
                            .count();
            w.log(
                    "start orders in answers to reports sent after the confirmation: "
                            + w.checker.orderedAfterCancellation.size()
                            + ", sent more than 1 s after it: "
                            + counted
                            + "; other violations: "
                            + w.checker.violations);
        }
        boolean broken = counted > 0 || !w.checker.violations.isEmpty();
        w.log(broken ? "the rule was BROKEN" : "the rule held");
        return broken ? 1 : 0;
    }
}
