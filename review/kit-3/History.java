import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The state service holds the records of some days of finished jobs; then all controllers crash. */
final class History {
    /** At 10 + 10 + 6.7 jobs a minute these are the jobs of 5.2 days. */
    private static final int FINISHED_JOBS = 200_000;
    /** 2% of daily-imposition and of proof-archive are cancelled: one job in 80. */
    private static final int ONE_CANCELLED_IN = 80;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World world = new World(Path.of(args[0]));
        int code = 2;
        try {
            code = run(world, trouble);
        } catch (Exception e) {
            world.log("could not run: " + e);
        }
        world.log("exit " + code);
        world.close();
        System.exit(code);
    }

    private static int run(World world, boolean trouble) throws Exception {
        world.restartMs = 4_000;
        world.reportMs = 800;
        world.leaseMs = 10_000;
        world.cancelS = 40;
        world.clockOffMs = 100;
        Store store = new Store(250, 100, 8, 12);
        store.latencyMs = 6;
        Cloud.Type type = new Cloud.Type("megalos-rip", 32, 64, 1.65, 0.68, 2);
        List<String> zones = List.of("piraeus-hall", "thessaloniki-loft");
        Cloud cloud =
                new Cloud(zones, 30, 6_000, (box, t, yard, spot) -> newWorker(world, box, t, yard, spot), type);
        List<Object> teams = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            teams.add(World.team("prepress-guild-" + i, 500, 800));
        }
        world.configure(
                3, zones, teams,
                Map.of("rps", 250.0, "write_rps", 100.0, "value_kb", 8.0, "txn_ops", 12),
                Map.of("rps", 4.0, "list_lag_s", 6.0), 800,
                Http.serve(store::handle), Http.serve(cloud::handle), null);
        for (World.Controller controller : world.controllers) {
            controller.start();
        }
        if (!world.await("all controllers are ready", 30, world::allReady)) {
            return 2;
        }
        // Two jobs that the controllers finish themselves; their records serve as samples.
        world.runSByJob.put("wk-000001", 1.0);
        world.runSByJob.put("wk-000002", 600.0);
        if (!world.submit(World.job("wk-000001", "prepress-guild-0", 2, 2, 3.3, 1), 20)
                || !world.submit(World.job("wk-000002", "prepress-guild-0", 2, 2, 3.3, 15), 20)
                || !world.await("wk-000002 is cancelled", 20, () ->
                        "aborted".equals(world.ask(0, "/v2/runs/wk-000002/cancel", Map.of(), 5_000).text("status")))
                || !world.await("wk-000001 is done", 40, () -> is(world, "wk-000001", "done"))) {
            return 2;
        }
        Map<String, Object> done = store.value("job/wk-000001");
        Map<String, Object> cancelled = store.value("job/wk-000002");
        world.log("record of a finished job: " + done);
        world.log("record of a cancelled job: " + cancelled);
        for (int i = 0; i < FINISHED_JOBS; i++) {
            store.put(
                    String.format("job/wk-%06d", 100_000 + i),
                    new LinkedHashMap<>(i % ONE_CANCELLED_IN == 0 ? cancelled : done));
            if (i % 280 == 279) {
                Thread.sleep(40);
            }
        }
        world.log("the state service has " + store.size() + " keys");
        world.runSByJob.put("wk-000003", 15.0);
        if (!world.await("all controllers are ready", 10, world::allReady)
                || !world.submit(World.job("wk-000003", "prepress-guild-1", 4, 2, 3.3, 15), 20)
                || !world.await("tasks of wk-000003 run", 20, () -> world.running() > 0)) {
            return 2;
        }
        if (trouble) {
            world.controllers.forEach(World.Controller::kill);
        }
        double end = world.nowS() + 45;
        boolean isDone = false;
        while (world.nowS() < end) {
            isDone |= is(world, "wk-000003", "done");
            Thread.sleep(3_000);
        }
        boolean ended = false;
        for (World.Controller controller : world.controllers) {
            world.log(controller.host + " ended by itself with exit codes " + controller.ownEnds);
            ended |= !controller.ownEnds.isEmpty();
        }
        world.log("wk-000003, accepted before, is " + (isDone ? "done" : "not done"));
        return ended || !isDone ? 1 : 0;
    }

    static Worker newWorker(World world, String box, Cloud.Type type, String yard, boolean spot) {
        try {
            return new Worker(box, type, yard, spot, world);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Whether a controller reports this status. */
    static boolean is(World world, String job, String status) throws Exception {
        for (int i = 0; i < world.controllers.size(); i++) {
            Http.Answer answer = world.ask(i, "/v2/runs/" + job, null, 2_000);
            if (answer.status() == 200 && status.equals(answer.text("status"))) {
                return true;
            }
        }
        Thread.sleep(1_000);
        return false;
    }
}
