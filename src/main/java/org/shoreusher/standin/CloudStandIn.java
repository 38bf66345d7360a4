package org.shoreusher.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.shoreusher.standin.StandInServer.Request;
import org.shoreusher.standin.StandInServer.Response;
import org.shoreusher.wire.FieldMap;

/**
 * An in-memory cloud with one machine type. A worker starts on each machine as soon as the machine
 * is provisioned. Thread-safe.
 */
public final class CloudStandIn {
    private static final String TYPE = "p";
    private static final String BEFORE_FIRST_MACHINE = "";

    /** Properties of a machine of the type, and the zones in which the type is available. */
    public record MachineOffer(
            double cpus, double memoryGb, double fetchGbPerS, List<String> zones) {}

    /** The workers by machine id. */
    private final TreeMap<String, WorkerStandIn> machines = new TreeMap<>();

    /** By the name of the request, so that a repeated request gets the same machines. */
    private final TreeMap<String, List<Object>> machineIdsByRequest = new TreeMap<>();

    private final MachineOffer offer;
    private final int capacity;
    private final Function<WorkerStandIn.Identity, WorkerStandIn> workerFactory;
    private int machinesProvisioned;

    /**
     * A cloud without machines.
     *
     * @param offer properties of the machine type
     * @param capacity largest number of machines that exist at once
     * @param workerFactory starts the worker of a new machine
     */
    public CloudStandIn(
            MachineOffer offer,
            int capacity,
            Function<WorkerStandIn.Identity, WorkerStandIn> workerFactory) {
        this.offer = offer;
        this.capacity = capacity;
        this.workerFactory = workerFactory;
    }

    /** Properties of the machine type, and its zones. */
    public MachineOffer offer() {
        return offer;
    }

    /**
     * Handles a request of a controller.
     *
     * @throws FieldMap.InvalidFieldException if a field of the request is missing or invalid
     */
    public synchronized Response handle(Request request) throws FieldMap.InvalidFieldException {
        return switch (request.requestLine()) {
            case "GET /flavors" -> Response.ok(Map.of("presses", List.of(type())));
            case "POST /rentals" -> provision(request.body());
            case "POST /rentals/return" -> terminate(request.body());
            default -> Response.ok(page(request.query()));
        };
    }

    private Map<String, Object> type() {
        Map<String, Object> type = new LinkedHashMap<>();
        type.put("sku", TYPE);
        type.put("cpus", offer.cpus());
        type.put("mem_gb", offer.memoryGb());
        type.put("pull_gb_per_s", offer.fetchGbPerS());
        type.put("rate", 1.0);
        type.put("low_price", 0.5);
        type.put("ready_s", 1.0);
        type.put("yards", offer.zones());
        return type;
    }

    private Response provision(FieldMap body) throws FieldMap.InvalidFieldException {
        String name = body.text("hire");
        if (!machineIdsByRequest.containsKey(name)) {
            long count = Math.min(body.integer("number"), capacity - machines.size());
            if (count <= 0) {
                return new Response(503, Map.of("error", "no capacity"));
            }
            machineIdsByRequest.put(name, start(count, body.text("yard"), body.flag("loaners")));
        }
        return Response.ok(Map.of("boxes", machineIdsByRequest.get(name)));
    }

    private List<Object> start(long count, String zone, boolean spot) {
        List<Object> ids = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String id = String.format("host-%06d", ++machinesProvisioned);
            machines.put(id, workerFactory.apply(new WorkerStandIn.Identity(id, TYPE, zone, spot)));
            ids.add(id);
        }
        return ids;
    }

    private Response terminate(FieldMap body) throws FieldMap.InvalidFieldException {
        for (String id : body.texts("boxes")) {
            removeMachine(id);
        }
        return Response.ok(Map.of());
    }

    /** Removes a machine immediately, with all tasks on it. Unknown machines are ignored. */
    public synchronized void removeMachine(String id) {
        WorkerStandIn worker = machines.remove(id);
        if (worker != null) {
            worker.stop();
        }
    }

    /** Stops all workers. */
    public synchronized void stopWorkers() {
        machines.values().forEach(WorkerStandIn::stop);
    }

    /** The workers of all machines, ordered by machine id. */
    public synchronized List<WorkerStandIn> workers() {
        return new ArrayList<>(machines.values());
    }

    /** The id of the machine on which a task is active; null if there is none. */
    public synchronized String machineOf(String task) {
        return machines.entrySet().stream()
                .filter(entry -> entry.getValue().hasActiveTask(task))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(null);
    }

    private Map<String, Object> page(Map<String, String> query) {
        String after = query.getOrDefault("after", BEFORE_FIRST_MACHINE);
        int limit = Integer.parseInt(query.getOrDefault("most", "500"));
        List<Object> list = new ArrayList<>();
        for (WorkerStandIn worker : machines.tailMap(after, false).values()) {
            if (list.size() == limit) {
                return Map.of("boxes", list, "more", true);
            }
            list.add(listingFields(worker.identity()));
        }
        return Map.of("boxes", list, "more", false);
    }

    private static Map<String, Object> listingFields(WorkerStandIn.Identity identity) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("name_id", identity.id());
        fields.put("press", identity.type());
        fields.put("yard", identity.zone());
        fields.put("loaners", identity.spot());
        fields.put("status", "running");
        fields.put("age_s", 1.0);
        return fields;
    }
}
