import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The cloud offers a second machine type, and a controller accepts a job that needs it. The controller
 * crashes, is back, and gets a job of the same kind.
 */
final class Refused {
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
        Store store = new Store(200, 25, 8, 20);
        Cloud.Type old = new Cloud.Type("quad-drafter", 4, 8, 0.27, 0.11, 2);
        Cloud.Type added = new Cloud.Type("octo-drafter", 8, 16, 0.40, 0.16, 2);
        List<String> zones = List.of("regina-east", "saskatoon-north");
        Cloud cloud =
                new Cloud(zones, 30, 5_000, world::newWorker, old);
        AtomicInteger bothRead = new AtomicInteger();
        int cloudPort =
                Http.serve(
                        request -> {
                            Http.Answer answer = cloud.handle(request);
                            if (answer.status() == 200 && answer.body().toString().contains(added.sku())) {
                                bothRead.incrementAndGet();
                            }
                            return answer;
                        });
        world.configure(
                3, zones,
                List.of(World.team("zoning-desk", 16, 48), World.team("drafting-crew", 32, 64)),
                Map.of("rps", 200.0, "write_rps", 25.0, "value_kb", 8.0, "txn_ops", 20),
                Map.of("rps", 5.0, "list_lag_s", 5.0), 1500,
                Http.serve(store::handle), cloudPort, null);
        for (World.Controller controller : world.controllers) {
            controller.start();
        }
        if (!world.await("all controllers are ready", 30, world::allReady)
                || !world.await("the machine types are stored", 10, () -> store.value("types") != null)) {
            return 2;
        }
        Thread.sleep(3_000);
        cloud.offer(added);
        world.log("the cloud offers " + added);
        if (!world.await("the leader has read the machine types again", 70, () -> bothRead.get() > 0)) {
            return 2;
        }
        Thread.sleep(1_000);
        int asked = world.leader;
        world.runSByJob.put("wk-000001", 2.0);
        world.runSByJob.put("wk-000002", 2.0);
        int before =
                world.ask(asked, "/v2/runs", World.job("wk-000001", "zoning-desk", 1, 8, 16, 2), 5_000).status();
        if (before != 201
                || !world.await("wk-000001 is done", 30, () -> world.is("wk-000001", "done"))) {
            return 2;
        }
        if (trouble) {
            world.controllers.get(asked).kill();
            Thread.sleep(world.restartMs);
        }
        if (!world.await("pressman-" + asked + " is ready", 20, () -> world.isReady(asked))) {
            return 2;
        }
        Map<String, Object> job = World.job("wk-000002", "zoning-desk", 1, 8, 16, 2);
        boolean[] refused = new boolean[1];
        boolean accepted =
                world.await("wk-000002 is accepted", 30, () -> {
                    int status = world.ask(asked, "/v2/runs", job, 5_000).status();
                    refused[0] = status == 422 || status == 400;
                    Thread.sleep(status == 201 || status == 200 || refused[0] ? 0 : 1_000);
                    return status == 201 || status == 200 || refused[0];
                });
        if (refused[0]) {
            world.log("wk-000002 was refused for good by pressman-" + asked + "; the same job at the others:");
            for (int i = 0; i < 3; i++) {
                world.ask(i, "/v2/runs", World.job("wk-00000" + (3 + i), "zoning-desk", 1, 8, 16, 2), 5_000);
            }
            return 1;
        }
        return accepted && world.await("wk-000002 is done", 30, () -> world.is("wk-000002", "done")) ? 0 : 2;
    }
}
