package org.shoreusher.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.shoreusher.cli.StandInServer.Request;
import org.shoreusher.cli.StandInServer.Response;
import org.shoreusher.wire.FieldMap;

/** A small cloud in memory with one type of machine, whose workers run as soon as it is rented. */
final class CloudStandIn {
    static final String TYPE = "p";
    static final String ZONE = "z";
    private static final double CPUS = 4;
    private static final double MEMORY_GB = 8;

    /** Machines by name; each has a worker. */
    private final TreeMap<String, WorkerStandIn> machines = new TreeMap<>();

    private final TreeMap<String, List<Object>> rentals = new TreeMap<>();
    private final Function<WorkerStandIn.Identity, WorkerStandIn> workers;
    private int rented;

    /**
     * @param workers starts the worker of a new machine
     */
    CloudStandIn(Function<WorkerStandIn.Identity, WorkerStandIn> workers) {
        this.workers = workers;
    }

    synchronized Response handle(Request request) throws FieldMap.Missing {
        return switch (request.line()) {
            case "GET /flavors" -> Response.ok(Map.of("presses", List.of(type())));
            case "POST /rentals" -> rent(request.body());
            case "POST /rentals/return" -> giveBack(request.body());
            default -> Response.ok(Map.of("boxes", list(), "more", false));
        };
    }

    private static Map<String, Object> type() {
        return Map.of(
                "sku",
                TYPE,
                "cpus",
                CPUS,
                "mem_gb",
                MEMORY_GB,
                "rate",
                1.0,
                "low_price",
                0.5,
                "ready_s",
                1.0,
                "yards",
                List.of(ZONE));
    }

    private Response rent(FieldMap body) throws FieldMap.Missing {
        String name = body.text("hire");
        if (!rentals.containsKey(name)) {
            List<Object> names = new ArrayList<>();
            for (long i = body.whole("number"); i > 0; i--) {
                String id = String.format("host-%06d", ++rented);
                machines.put(
                        id, workers.apply(new WorkerStandIn.Identity(id, body.flag("loaners"))));
                names.add(id);
            }
            rentals.put(name, names);
        }
        return Response.ok(Map.of("boxes", rentals.get(name)));
    }

    private Response giveBack(FieldMap body) throws FieldMap.Missing {
        for (String id : body.texts("boxes")) {
            take(id);
        }
        return Response.ok(Map.of());
    }

    /** Takes a machine away at once, with all that runs on it. */
    synchronized void take(String id) {
        WorkerStandIn worker = machines.remove(id);
        if (worker != null) {
            worker.stop();
        }
    }

    /** Ends all workers. */
    synchronized void stop() {
        machines.values().forEach(WorkerStandIn::stop);
    }

    /** The machine that runs a task; null if none does. */
    synchronized String machineOf(String task) {
        return machines.entrySet().stream()
                .filter(e -> e.getValue().runs(task))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        machines.forEach(
                (id, worker) ->
                        list.add(
                                Map.of(
                                        "name_id",
                                        id,
                                        "press",
                                        TYPE,
                                        "yard",
                                        ZONE,
                                        "loaners",
                                        worker.identity().spot(),
                                        "status",
                                        "running",
                                        "age_s",
                                        1.0)));
        return list;
    }
}
