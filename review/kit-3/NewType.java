import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The cloud offers a second machine type, all controllers are restarted one after the other, and
 * much later the leader crashes while the cloud's interface is down.
 */
final class NewType {
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
                new Cloud(zones, 30, 5_000, (box, t, yard, spot) -> History.newWorker(world, box, t, yard, spot), old);
        AtomicInteger flavorReads = new AtomicInteger();
        int cloudPort =
                Http.serve(
                        request -> {
                            Http.Answer answer = cloud.handle(request);
                            if (answer.status() == 200 && answer.body().toString().contains(added.sku())) {
                                flavorReads.incrementAndGet();
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
        if (!world.await("all ready", 30, world::allReady)) {
            return 2;
        }
        // The operators add a machine type, and later restart all controllers one after the other.
        if (!world.await("the machine types are stored", 10, () -> store.value("types") != null)) {
            return 2;
        }
        cloud.offer(added);
        world.log("the cloud offers " + added);
        for (World.Controller controller : world.controllers) {
            controller.kill();
            Thread.sleep(world.restartMs + 1_500);
            if (!world.await(controller.host + " is ready", 20, () -> world.isReady(controller.index))) {
                return 2;
            }
        }
        if (!world.await("a leader has read the machine types since", 30, () -> flavorReads.get() > 0)) {
            return 2;
        }
        world.runSByJob.put("wk-000001", 600.0);
        Map<String, Object> first = World.job("wk-000001", "zoning-desk", 2, 4, 8, 60);
        first.put("presses", List.of("quad-drafter"));
        if (!world.submit(first, 20)
                || !world.await("wk-000001 runs", 30, () -> world.running() == 2)) {
            return 2;
        }
        world.runSByJob.put("wk-000002", 40.0);
        if (!world.submit(World.job("wk-000002", "zoning-desk", 4, 2, 2, 40), 20)
                || !world.await("wk-000002 runs", 20, () -> world.running() == 6)) {
            return 2;
        }
        Thread.sleep(3_000);
        if (trouble) {
            cloud.down = true;
            world.log("the cloud's interface is down");
            world.controllers.get(world.leader).kill();
        }
        world.finish("wk-000001");
        Thread.sleep(20_000);
        world.log("violations: " + world.violations);
        return world.violations.isEmpty() ? 0 : 1;
    }
}
