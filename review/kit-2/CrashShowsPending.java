import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The leader crashes and is back within a fraction of a second; a job's tasks run all the time. */
final class CrashShowsPending {
    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (World w = new World("prairie-permits", 7, Path.of(args[0]))) {
            exit = run(w, trouble);
        }
        System.exit(exit);
    }

    private static int run(World w, boolean trouble) throws Exception {
        w.startAll();
        if (!w.awaitReady(30)) {
            return 2;
        }
        World.Job job = new World.Job();
        job.id = "wk-000412";
        job.crew = "zoning-desk";
        job.sheets = 4;
        job.runS = 60;
        if (!w.submit(job) || !w.await("all tasks run", 40, () -> w.checker.running() == 4)) {
            return 2;
        }
        // The state may lag by up to 3 s; 4 s are waited.
        w.sleepS(4);
        World.Node leader = w.leader();
        if (leader == null) {
            return 2;
        }
        if (trouble) {
            w.kill(leader);
            w.sleepS(0.3);
            w.start(leader);
        }
        List<String> wrong = new ArrayList<>();
        double end = w.nowS() + 20;
        while (w.nowS() < end) {
            for (World.Node n : w.nodes) {
                boolean before = w.checker.running() == 4;
                Http.Response r = w.call(n, "GET", "/v2/runs/" + job.id, null, 2000);
                boolean after = w.checker.running() == 4;
                w.record("poll at " + n.host + ": " + r.status() + " " + r.body());
                if (r.status() == 200 && before && after && !"running".equals(r.text("status"))) {
                    wrong.add(n.host + " says " + r.text("status") + " at " + w.nowS());
                }
            }
            w.sleepS(0.4);
        }
        w.log("tasks on machines at the end: " + w.checker.running() + ", starts: " + w.checker.starts);
        w.log("wrong answers: " + wrong);
        boolean broken = !wrong.isEmpty() || !w.checker.violations.isEmpty();
        w.log(broken ? "the rule was BROKEN" : "the rule held");
        return broken ? 1 : 0;
    }
}
