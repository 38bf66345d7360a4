import java.nio.file.Path;

/** The cloud offers a second machine type while the controllers run; later the leader crashes. */
final class NewMachineType {
    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (World w = new World("prairie-permits", 6, Path.of(args[0]))) {
            exit = run(w, trouble);
        }
        System.exit(exit);
    }

    private static int run(World w, boolean trouble) throws Exception {
        w.startAll();
        if (!w.awaitReady(30)) {
            return 2;
        }
        double readyS = w.nowS();
        synchronized (w.cloud) {
            w.cloud.flavors.add(new Cloud.Flavor("octo-drafter", 8, 16, 0.27, 0.05, 2, 1));
        }
        w.log("cloud: offers octo-drafter from now on");
        World.Job a = job("wk-000001", 1, 66);
        if (!w.submit(a)
                || !w.await("a quad-drafter runs a task", 30, () -> w.checker.running() == 1)) {
            return 2;
        }
        // The leader reads the types again once a minute.
        while (w.nowS() < readyS + 63) {
            w.sleepS(0.5);
        }
        World.Job b = job("wk-000002", 1, 60);
        String task = "wk-000002/0";
        if (!w.submit(b)
                || !w.await("it runs", 30, () -> w.checker.machineOf(task) != null)) {
            return 2;
        }
        Worker machine = w.cloud.worker(w.checker.machineOf(task));
        w.log(task + " is on " + machine.id + ", of type " + machine.flavor.sku());
        if (!machine.flavor.sku().equals("octo-drafter")) {
            return 2;
        }
        while (w.checker.machineOf("wk-000001/0") != null) {
            w.sleepS(0.2);
        }
        w.sleepS(3);
        World.Node leader = w.leader();
        if (trouble) {
            w.log("the cloud's interface is down, and the leader crashes");
            w.cloud.outage = true;
            w.kill(leader);
            w.sleepS(w.restartS);
            w.start(leader);
        }
        double end = Math.min(w.nowS() + 25, 114);
        while (w.nowS() < end && w.checker.violations.isEmpty()) {
            w.sleepS(1);
            w.pollAny(b);
        }
        w.log("violations: " + w.checker.violations);
        w.log(w.checker.violations.isEmpty() ? "the rule held" : "the rule was BROKEN");
        return w.checker.violations.isEmpty() ? 0 : 1;
    }

    private static World.Job job(String id, int sheets, double runS) {
        World.Job j = new World.Job();
        j.id = id;
        j.crew = "zoning-desk";
        j.sheets = sheets;
        j.cpus = 4;
        j.memGb = 4.3;
        j.runS = runS;
        return j;
    }
}
