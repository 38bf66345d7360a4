import java.nio.file.Path;

/** The first two machines that the cloud rents are faulty: every task fails on them. */
final class TwoFaultyMachines {
    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (World w = new World("prairie-permits", 5, Path.of(args[0]))) {
            exit = run(w, trouble);
        }
        System.exit(exit);
    }

    private static int run(World w, boolean trouble) throws Exception {
        int[] rented = new int[1];
        w.cloud.onNewWorker =
                worker -> {
                    worker.faulty = trouble && ++rented[0] <= 2;
                    if (worker.faulty) {
                        w.log("cloud: " + worker.id + " is faulty");
                    }
                };
        w.startAll();
        if (!w.awaitReady(30)) {
            return 2;
        }
        World.Job job = new World.Job();
        job.id = "wk-000412";
        job.queue = "council-rush";
        job.crew = "zoning-desk";
        job.urgency = "high";
        job.sheets = 4;
        job.cpus = 2;
        job.memGb = 3.7;
        job.runS = 6;
        if (!w.submit(job)) {
            return 2;
        }
        double end = Math.min(w.nowS() + 100, 112);
        double lastMachineS = w.nowS();
        int rentals = -1;
        double lastRentalS = 0;
        while (w.nowS() < end && !"done".equals(job.told)) {
            w.sleepS(2);
            w.pollAny(job);
            if (!w.cloud.workers().isEmpty()) {
                lastMachineS = w.nowS();
            }
            if (w.cloud.rentals.size() != rentals) {
                rentals = w.cloud.rentals.size();
                lastRentalS = w.nowS();
            }
        }
        boolean done = "done".equals(job.told);
        w.log("the job is " + job.told + "; its tasks started " + w.checker.starts + " times");
        if (!done) {
            w.log("rental requests: " + rentals + ", the last one at " + lastRentalS + " s");
            w.log("machines: " + w.cloud.workers().size() + "; the last one existed at " + lastMachineS + " s");
        }
        boolean broken = !done || !w.checker.violations.isEmpty();
        w.log(broken ? "the rule was BROKEN" : "the rule held");
        return broken ? 1 : 0;
    }
}
