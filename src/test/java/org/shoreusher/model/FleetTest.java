package org.shoreusher.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.core.Command;
import org.shoreusher.core.Effect.CloudOp;
import org.shoreusher.settings.SettingsBuilder;

/** Which machines a leader provisions, keeps and terminates. */
class FleetTest {
    private final SingleNode node = new SingleNode();

    /**
     * An idle machine whose termination was refused takes work again; one whose termination may
     * still be executed does not.
     */
    @Example
    void aMachineWhoseReturnWasRefusedTakesWork() {
        for (int status : new int[] {503, 0}) {
            SingleNode owner = new SingleNode();
            owner.left("host-1");
            boolean[] asked = {false};
            owner.cloud =
                    op -> {
                        asked[0] |= op instanceof CloudOp.Return;
                        return new Command.CloudReply(0, status, Map.of("error", "trouble"));
                    };
            owner.steps(20);
            int seq = 1;
            while (!asked[0] && seq < 80) {
                owner.report("host-1", seq++, 6);
                owner.steps(15);
            }
            assertTrue(asked[0], "idle for long");
            owner.openJob("wk-1", 1);
            boolean started = false;
            for (int i = 0; i < 5; i++) {
                owner.steps(15);
                List<String> orders = owner.report("host-1", seq++, 6);
                started |= orders != null && orders.contains("run");
            }
            assertEquals(status == 503, started, "after status " + status);
        }
    }

    /**
     * Provision requests are sent in parallel. A request without a response may have been executed,
     * so it is repeated under its own name, one at a time while they fail. No name is requested
     * again once it was answered.
     */
    @Example
    void rentalsKeepTheirNamesUntilAnswered() {
        List<CloudOp.Rent> asked = new ArrayList<>();
        Map<String, CloudOp.Rent> open = new HashMap<>();
        node.cloud =
                op -> {
                    if (!(op instanceof CloudOp.Rent rent)) {
                        return new Command.CloudReply(0, 0, null);
                    }
                    asked.add(rent);
                    assertTrue(
                            asked.size() <= 2 || open.containsKey(rent.name()),
                            "asked again after its answer, or more than is wanted: " + rent);
                    assertTrue(
                            !open.containsKey(rent.name()) || open.get(rent.name()).equals(rent),
                            "another request under the name of " + rent);
                    open.put(rent.name(), rent);
                    if (asked.size() < 6) {
                        return new Command.CloudReply(0, 0, null);
                    }
                    open.remove(rent.name());
                    return new Command.CloudReply(
                            0, 200, Map.of("boxes", List.of("host-" + asked.size())));
                };
        node.left();
        node.steps(20);
        // A twelfth of its tasks at once needs two machines, in two zones.
        node.openJob("wk-1", 24, 8);
        node.steps(200);
        assertEquals(
                2,
                asked.stream().map(CloudOp.Rent::name).distinct().count(),
                "one request a zone: " + asked);
        assertTrue(open.isEmpty(), "all are answered in the end");
        assertTrue(asked.size() > 6, "repeated: " + asked);
    }

    /**
     * The machine type that is cheapest for a task is provisioned first, and the next one when the
     * cloud has no capacity of it. With the cheapest type alone, work once waited although hundreds
     * of small machines were available.
     */
    @Example
    void whenTheCheapestTypeIsGoneTheNextIsRented() {
        List<String> asked = new ArrayList<>();
        node.cloud =
                op -> {
                    if (op instanceof CloudOp.Types) {
                        return new Command.CloudReply(
                                0,
                                200,
                                Map.of(
                                        "presses",
                                        List.of(
                                                type("small", 4, 0.2, 0.08),
                                                type("large", 32, 1.16, 0.43))));
                    }
                    if (!(op instanceof CloudOp.Rent rent)) {
                        return new Command.CloudReply(0, 0, null);
                    }
                    asked.add(rent.type() + (rent.spot() ? "" : " ordinary"));
                    return new Command.CloudReply(0, 503, Map.of("error", "no capacity"));
                };
        node.steps(30);
        node.openJob("wk-1", 100, 1);
        node.steps(300);
        List<String> order = asked.stream().distinct().toList();
        assertEquals(List.of("large", "small", "large ordinary", "small ordinary"), order);
    }

    /**
     * A machine that has run tasks has booted before: a successor that gets no heartbeat from it
     * does not take it for one that failed to boot, and keeps it for a while.
     */
    @Example
    void aTakerKeepsUsedMachinesThatAreSilent() {
        List<String> returned = new ArrayList<>();
        long[] at = {0};
        node.cloud =
                op -> {
                    if (op instanceof CloudOp.Return back) {
                        returned.addAll(back.machineIds());
                        at[0] = node.now;
                    }
                    return new Command.CloudReply(
                            0, op instanceof CloudOp.Return ? 200 : 0, Map.of());
                };
        node.now += 600_000;
        node.left("host-1");
        long from = node.now;
        node.now += 600_000;
        for (int i = 0; returned.isEmpty() && i < 3_000; i++) {
            node.steps(1);
        }
        assertEquals(List.of("host-1"), returned);
        // Its lease of 8 s, and a minute.
        assertTrue(
                at[0] - from - 600_000 > 60_000,
                () -> "returned after " + (at[0] - from - 600_000));
    }

    /**
     * An inventory of 4,200 machines has more pages than the cloud accepts calls in a burst; it is
     * read completely all the same. It never was when reading restarted at each page without a
     * token, and machines that had disappeared counted forever.
     */
    @Example
    void aListLongerThanABurstOfCallsIsReadWhole() {
        SingleNode owner =
                new SingleNode(new SettingsBuilder(ModelSettings.usual()).cloudRps(4).build());
        List<String> pages = new ArrayList<>();
        owner.cloud =
                op -> {
                    if (!(op instanceof CloudOp.Listing listing)) {
                        return new Command.CloudReply(0, 0, null);
                    }
                    pages.add(String.valueOf(listing.afterMachineId()));
                    return page(listing.afterMachineId(), 4_200);
                };
        owner.left("host-9");
        for (int i = 0; i < 600 && !gone(owner, "host-9"); i++) {
            owner.steps(1);
        }
        assertTrue(gone(owner, "host-9"), () -> "pages asked for: " + pages);
        assertEquals(
                List.of("null", "host-000500", "host-001000"),
                pages.subList(0, 3),
                "in the order of the names");
    }

    private static boolean gone(SingleNode owner, String machine) {
        return owner.log.stream().anyMatch(line -> line.startsWith("gone: " + machine));
    }

    /** A page of 500 machines of an inventory of this size. */
    private static Command.CloudReply page(String after, int machines) {
        int first = after == null ? 1 : 1 + Integer.parseInt(after.substring("host-".length()));
        int last = Math.min(machines, first + 499);
        List<Object> boxes = new ArrayList<>();
        for (int i = first; i <= last; i++) {
            boxes.add(
                    Map.of(
                            "name_id",
                            String.format("host-%06d", i),
                            "press",
                            CloudModel.TYPE,
                            "yard",
                            "a",
                            "loaners",
                            true,
                            "status",
                            "running",
                            "age_s",
                            100.0));
        }
        return new Command.CloudReply(0, 200, Map.of("boxes", boxes, "more", last < machines));
    }

    private static Map<String, Object> type(
            String name, double cpus, double price, double spotPrice) {
        return Map.of(
                "sku",
                name,
                "cpus",
                cpus,
                "mem_gb",
                64.0,
                "rate",
                price,
                "low_price",
                spotPrice,
                "ready_s",
                5.0,
                "yards",
                List.of("a", "b"));
    }
}
