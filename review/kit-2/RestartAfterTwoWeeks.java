import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The state service holds the final states of two weeks of jobs. All controllers crash and are
 * started again, as often as they end.
 */
final class RestartAfterTwoWeeks {
    /** 13 days at 10.7 jobs a minute. */
    private static final int JOBS = 200_000;
    /** One of so many was cancelled; 2% of two of the three classes. */
    private static final int CANCELLED_ONE_OF = 75;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (World w = new World("athens-print-coop", 4, Path.of(args[0]))) {
            exit = run(w, trouble);
        }
        System.exit(exit);
    }

    private static int run(World w, boolean trouble) throws Exception {
        w.startAll();
        if (!w.awaitReady(30)) {
            return 2;
        }
        World.Job done = job("wk-000001", 1, 1);
        World.Job aborted = job("wk-000002", 40, 30);
        if (!w.submit(done) || !w.submit(aborted) || !w.cancel(aborted)) {
            return 2;
        }
        if (!w.await("wk-000001 is done", 30, () -> "done".equals(w.pollAny(done)))) {
            return 2;
        }
        Map<String, Object> doneRecord = w.store.get("job/wk-000001");
        Map<String, Object> abortedRecord = w.store.get("job/wk-000002");
        w.log("the controllers' record of a finished job: " + doneRecord);
        w.log("the controllers' record of a cancelled job: " + abortedRecord);
        if (doneRecord == null || abortedRecord == null) {
            return 2;
        }
        fill(w, doneRecord, abortedRecord);
        w.sleepS(4);
        List<World.Job> old = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            World.Job j = job(id(10_000 * (i + 1) + 1), 1, 1);
            w.jobs.put(j.id, j);
            j.accepted = true;
            w.checker.completed.add(j.id + "/0");
            old.add(j);
        }
        World.Job last = job("wk-000003", 8, 20);
        if (!w.submit(last)
                || !w.await("wk-000003 runs", 20, () -> w.checker.running() >= 8)
                || !w.nodes.stream().allMatch(World.Node::alive)) {
            return 2;
        }
        for (World.Job j : old) {
            w.log("before: " + j.id + " is " + w.pollAny(j));
        }
        if (trouble) {
            w.log("all controllers crash; each is started again 4 s after it ends");
            w.nodes.forEach(w::kill);
        }
        int[] ended = new int[1];
        for (World.Node n : w.nodes) {
            Http.daemon("platform", () -> platform(w, n, trouble, ended));
        }
        int asked = 0;
        int answered = 0;
        double end = w.nowS() + 50;
        while (w.nowS() < end) {
            w.sleepS(2.5);
            World.Job j = asked % 2 == 0 ? last : old.get(asked / 2 % old.size());
            asked++;
            answered += w.pollAny(j) != null ? 1 : 0;
        }
        boolean lastDone = "done".equals(last.told);
        w.log("polls: " + asked + ", answered: " + answered);
        w.log("the accepted job wk-000003: " + last.told);
        synchronized (ended) {
            w.log("controllers that ended by themselves: " + ended[0]);
            boolean broken = ended[0] > 0 || !lastDone || !w.checker.violations.isEmpty();
            w.log(broken ? "the rule was BROKEN" : "the rule held");
            return broken ? 1 : 0;
        }
    }

    private static void platform(World w, World.Node n, boolean startFirst, int[] ended) {
        try {
            if (startFirst) {
                w.sleepS(w.restartS);
                w.start(n);
            }
            while (true) {
                n.process.waitFor(10, TimeUnit.MINUTES);
                if (w.isClosed()) {
                    return;
                }
                synchronized (ended) {
                    ended[0]++;
                }
                w.log(n.host + " ended by itself with exit code " + n.process.exitValue());
                w.sleepS(w.restartS);
                w.start(n);
            }
        } catch (Exception e) {
            w.log("platform: " + e);
        }
    }

    private static void fill(World w, Map<String, Object> done, Map<String, Object> aborted) {
        for (int i = 1; i <= JOBS; ) {
            Map<String, Map<String, Object>> batch = new LinkedHashMap<>();
            for (int k = 0; k < 400 && i <= JOBS; k++, i++) {
                batch.put("job/" + id(i), i % CANCELLED_ONE_OF == 0 ? aborted : done);
            }
            w.store.putAll(batch);
            World.sleep(50);
        }
        w.log("the state service holds the records of " + JOBS + " more jobs");
    }

    private static String id(int i) {
        return String.format("wk-%06d", 100_000 + i);
    }

    private static World.Job job(String id, int sheets, double runS) {
        World.Job j = new World.Job();
        j.id = id;
        j.queue = "daily-imposition";
        j.crew = "prepress-guild-1";
        j.sheets = sheets;
        j.cpus = 2;
        j.memGb = 3.3;
        j.runS = runS;
        return j;
    }
}
