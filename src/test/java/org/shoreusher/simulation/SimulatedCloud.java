package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.ReplyStatus;

/**
 * A simulated cloud whose inventory lags and of whose machines one in twelve never boots. It has
 * one machine type. With more than two zones it also has a large type, which is cheaper per CPU,
 * has little capacity, and is the only type in the last zone.
 */
final class SimulatedCloud {
    /** The host name of the cloud in the simulated network. */
    static final String HOST = "cloud";

    static final String SMALL_TYPE = "box";
    static final double SMALL_CPUS = 8;
    static final String LARGE_TYPE = "large";
    static final double LARGE_CPUS = 32;

    /** Machines in a page of the inventory. */
    private static final int PAGE_SIZE = 500;

    /** Interval between two snapshots of the inventory. */
    private static final long SNAPSHOT_INTERVAL_MS = 500;

    /** One in this number of provisioned machines never boots. */
    private static final int ONE_MACHINE_FAILS_TO_BOOT_IN = 12;

    private final ClusterSimulation simulation;
    private final int capacity;
    private final TreeMap<String, SimulatedWorker> machines = new TreeMap<>();
    private final Map<String, SimulatedWorker> machineByAddress = new HashMap<>();
    private final TreeMap<Long, List<Object>> snapshots = new TreeMap<>();
    private final Map<String, Map<String, Object>> repliesByRequestName = new HashMap<>();
    private long outageUntilMs;
    private int machinesProvisioned;
    private int peakMachines;

    /** Whether machines boot within 2 s rather than 8.5 s. */
    boolean fastBoots;

    /** Whether the inventory always lags by twice its nominal lag rather than by a random time. */
    boolean hasLongestLag;

    /** On this many machines, the first that are provisioned, every task fails. */
    int faultyMachines;

    private long provisioningDelayedUntilMs;
    private long maxProvisioningDelayMs;

    SimulatedCloud(ClusterSimulation simulation, int capacity) {
        this.simulation = simulation;
        this.capacity = capacity;
        takeSnapshot();
    }

    static double cpusOfType(String type) {
        return type.equals(LARGE_TYPE) ? LARGE_CPUS : SMALL_CPUS;
    }

    /** Replies with status 503 to every request for a while. */
    void outage(long durationMs) {
        outageUntilMs = simulation.nowMs + durationMs;
    }

    /** Carries out each provision request up to this late, for a while. */
    void delayProvisioning(long maxDelayMs, long durationMs) {
        maxProvisioningDelayMs = maxDelayMs;
        provisioningDelayedUntilMs = simulation.nowMs + durationMs;
    }

    /** Number of machines that were provisioned so far. */
    int machinesProvisioned() {
        return machinesProvisioned;
    }

    Iterable<SimulatedWorker> machines() {
        return new ArrayList<>(machines.values());
    }

    /** The highest number of machines that were provisioned at one time. */
    int peakMachines() {
        return peakMachines;
    }

    /** The machine with this id; null if it does not exist. */
    SimulatedWorker machine(String id) {
        return machines.get(id);
    }

    /** The machine with this address; null if it does not exist. */
    SimulatedWorker machineByAddress(String address) {
        return machineByAddress.get(address);
    }

    /** Terminates a machine; its tasks stop. */
    void terminate(SimulatedWorker machine) {
        machines.remove(machine.id);
        machineByAddress.remove(machine.address());
        machine.terminate();
    }

    /** The entry of the inventory for a running spot machine of the small type in zone a. */
    static Map<String, Object> listedMachine(String id, double ageS) {
        return Map.of(
                "name_id",
                id,
                "press",
                SMALL_TYPE,
                "yard",
                "a",
                "loaners",
                true,
                "status",
                "running",
                "age_s",
                ageS);
    }

    private void takeSnapshot() {
        List<Object> list = new ArrayList<>();
        for (SimulatedWorker machine : machines.values()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("name_id", machine.id);
            fields.put("press", machine.type);
            fields.put("yard", machine.zone);
            fields.put("loaners", machine.spot);
            fields.put("status", machine.isUp() ? "running" : "booting");
            fields.put("age_s", (simulation.nowMs - machine.provisionedAtMs) / 1000.0);
            list.add(fields);
        }
        snapshots.put(simulation.nowMs, list);
        snapshots.headMap(simulation.nowMs - 2 * inventoryLagMs() - SNAPSHOT_INTERVAL_MS).clear();
        simulation.scheduleAfter(SNAPSHOT_INTERVAL_MS, this::takeSnapshot);
    }

    private long inventoryLagMs() {
        return (long) (simulation.settings.inventoryLagS() * 1000);
    }

    /** A page of the inventory. Its snapshot may be older than that of the previous page. */
    private Map<String, Object> page(String afterMachineId) {
        long lagMs =
                hasLongestLag
                        ? 2 * inventoryLagMs()
                        : (long) (inventoryLagMs() * 2 * simulation.random.nextDouble());
        List<Object> list = snapshots.floorEntry(Math.max(0, simulation.nowMs - lagMs)).getValue();
        int first = 0;
        while (afterMachineId != null
                && first < list.size()
                && machineId(list.get(first)).compareTo(afterMachineId) <= 0) {
            first++;
        }
        int last = Math.min(list.size(), first + PAGE_SIZE);
        return Map.of("boxes", list.subList(first, last), "more", last < list.size());
    }

    private static String machineId(Object listed) {
        return (String) ((Map<?, ?>) listed).get("name_id");
    }

    void handle(CloudOperation operation, ReplyHandler onReply) {
        if (simulation.nowMs < outageUntilMs) {
            onReply.accept(ReplyStatus.SERVICE_UNAVAILABLE, Map.of("error", "cloud outage"));
        } else if (operation instanceof CloudOperation.ListTypes) {
            onReply.accept(ReplyStatus.OK, Map.of("presses", machineTypes()));
        } else if (operation instanceof CloudOperation.ListMachines listing) {
            onReply.accept(ReplyStatus.OK, page(listing.afterMachineId()));
        } else if (operation instanceof CloudOperation.Terminate termination) {
            for (String id : termination.machineIds()) {
                SimulatedWorker machine = machines.get(id);
                if (machine != null) {
                    terminate(machine);
                }
            }
            onReply.accept(ReplyStatus.OK, Map.of());
        } else if (simulation.nowMs < provisioningDelayedUntilMs) {
            simulation.scheduleAfter(
                    (long) (maxProvisioningDelayMs * simulation.random.nextDouble()),
                    () -> provision((CloudOperation.Provision) operation, onReply));
        } else {
            provision((CloudOperation.Provision) operation, onReply);
        }
    }

    private List<Object> machineTypes() {
        List<String> zones = simulation.settings.zones();
        List<Object> types = new ArrayList<>();
        types.add(
                Map.of(
                        "sku",
                        SMALL_TYPE,
                        "cpus",
                        SMALL_CPUS,
                        "mem_gb",
                        32.0,
                        "rate",
                        1.0,
                        "low_price",
                        0.4,
                        "ready_s",
                        5.0,
                        "yards",
                        zones.subList(0, Math.max(2, zones.size() - 1))));
        if (zones.size() > 2) {
            types.add(
                    Map.of(
                            "sku",
                            LARGE_TYPE,
                            "cpus",
                            LARGE_CPUS,
                            "mem_gb",
                            64.0,
                            "rate",
                            3.0,
                            "low_price",
                            1.0,
                            "ready_s",
                            6.0,
                            "yards",
                            zones));
        }
        return types;
    }

    private void provision(CloudOperation.Provision provision, ReplyHandler onReply) {
        Map<String, Object> previousReply = repliesByRequestName.get(provision.name());
        if (previousReply != null) {
            onReply.accept(ReplyStatus.OK, previousReply);
            return;
        }
        long used =
                machines.values().stream()
                        .filter(
                                machine ->
                                        machine.zone.equals(provision.zone())
                                                && machine.type.equals(provision.type())
                                                && machine.spot == provision.spot())
                        .count();
        int capacityOfType = provision.type().equals(LARGE_TYPE) ? 1 + capacity / 8 : capacity;
        int count = (int) Math.min(provision.count(), capacityOfType - used);
        if (count <= 0) {
            onReply.accept(ReplyStatus.SERVICE_UNAVAILABLE, Map.of("error", "no capacity"));
            return;
        }
        List<Object> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = String.format("host-%06d", machinesProvisioned++);
            SimulatedWorker machine =
                    new SimulatedWorker(
                            simulation,
                            id,
                            provision.type(),
                            provision.zone(),
                            provision.spot(),
                            machinesProvisioned);
            machine.faulty = machinesProvisioned <= faultyMachines;
            machines.put(id, machine);
            machineByAddress.put(machine.address(), machine);
            ids.add(id);
            if (simulation.random.nextInt(ONE_MACHINE_FAILS_TO_BOOT_IN) > 0) {
                simulation.scheduleAfter(
                        fastBoots
                                ? 100 + simulation.random.nextInt(1_800)
                                : 500 + simulation.random.nextInt(8_000),
                        machine::boot);
            }
        }
        peakMachines = Math.max(peakMachines, machines.size());
        Map<String, Object> reply = Map.of("boxes", ids);
        repliesByRequestName.put(provision.name(), reply);
        onReply.accept(ReplyStatus.OK, reply);
    }
}
