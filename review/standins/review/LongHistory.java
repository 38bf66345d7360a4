package review;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Controllers crash after the service has finished 220,000 jobs, which is 18 days of the smaller deployment at 8.5 jobs
 * a minute. The platform starts them again each time about 6 s after they have ended.
 */
final class LongHistory extends Case {
    private static final int HISTORY = 220_000;
    private static final double QUESTIONS_S = 75;
    private static final String OPEN_JOB = "wk-000002";

    public static void main(String[] args) {
        Case.main(new LongHistory(), args);
    }

    @Override
    Cluster.Settings settings() {
        return Cluster.Settings.prairie(2);
    }

    @Override
    Worker.Jobs jobs() {
        return sheet -> sheet.startsWith(OPEN_JOB) ? 300_000 : 1_000;
    }

    @Override
    String run() throws Exception {
        Balancer users = new Balancer(cluster);
        Map<String, Object> job = Cluster.job("wk-000001", "drafting-crew", 2, 2, "plans");
        require(users.submit("user", job).status() == 201, "the first job is not accepted");
        require(await(20, () -> "done".equals(status(users, "wk-000001"))), "the first job does not finish");
        // The store cache has had time to see the end of the job; now 18 days pass in which the service does nothing
        // else than finish jobs like this one. Only what it keeps of them is added: their final states, each a copy of
        // the record that it has just written itself, with stamps from before the present ledger.
        Thread.sleep(1_000);
        Map<String, Object> finished = cluster.store.value("job/wk-000001");
        require(finished != null && "DONE".equals(finished.get("status")), "no record of the finished job: " + finished);
        long accepted = ((Number) finished.get("accepted")).longValue();
        for (int i = 1; i <= HISTORY; i++) {
            Map<String, Object> record = new LinkedHashMap<>(finished);
            record.put("accepted", accepted - 7_000L * i);
            cluster.store.preload("job/wk-%06d".formatted(100_000 + i), record, i);
        }
        cluster.note("state service: keeps the final states of " + HISTORY + " further jobs, each like " + finished);
        require(users.submit("user", Cluster.job(OPEN_JOB, "drafting-crew", 2, 2, "plans")).status() == 201,
                "the open job is not accepted");
        require("done".equals(status(users, "wk-100001")) && "done".equals(status(users, "wk-320000")),
                "old jobs are not known");
        require(await(15, () -> "running".equals(status(users, OPEN_JOB))), "the open job does not run");
        if (trouble) {
            for (int i = 0; i < cluster.size(); i++) {
                cluster.kill(i);
            }
            Thread.sleep(6_000);
            for (int i = 0; i < cluster.size(); i++) {
                cluster.startAndKeepStarting(i, 6_000);
            }
        }
        // The trouble is over: the controllers are back.
        double endS = cluster.nowS() + QUESTIONS_S;
        int asked = 0;
        int answered = 0;
        while (cluster.nowS() < endS) {
            asked++;
            answered += users.poll("user", OPEN_JOB).ok() ? 1 : 0;
            Thread.sleep(2_500);
        }
        cluster.note("result: " + answered + " of " + asked + " questions about " + OPEN_JOB + " answered in "
                + QUESTIONS_S + " s; controllers ended by themselves " + cluster.ends.get() + " times, with "
                + cluster.endedWith);
        // Java ends with 3 when its memory is exhausted (ExitOnOutOfMemoryError); anything else is not what is tested.
        require(cluster.endedWith.isEmpty() || cluster.endedWith.equals(java.util.Set.of(3)),
                "controllers ended with " + cluster.endedWith);
        return answered > 0
                ? null
                : "forgotten: none of " + asked + " questions about the accepted job " + OPEN_JOB + " was answered for "
                        + QUESTIONS_S + " s after the controllers were back; they ended by themselves "
                        + cluster.ends.get() + " times";
    }

    private static String status(Balancer users, String id) {
        Http.Response response = users.poll("user", id);
        return response.ok() ? (String) response.body().get("status") : null;
    }
}
