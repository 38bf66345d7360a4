package org.shoreusher.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.message.Command.ListedMachine;
import org.shoreusher.core.message.Command.MachineListPage;
import org.shoreusher.core.message.Effect.CloudOperation;
import org.shoreusher.core.message.MachineType;

/**
 * Encodes requests to the cloud and decodes its replies. In the protocol, machine types are called
 * "presses", zones "yards", machines "boxes" and spot machines "loaners".
 */
public final class CloudFormat {
    private static final double DEFAULT_PRICE_PER_HOUR = 1;
    private static final double DEFAULT_IMAGE_FETCH_GB_PER_S = 1;
    private static final double DEFAULT_BOOT_S = 60;

    private CloudFormat() {}

    /** The HTTP request of a cloud operation. */
    public static WireRequest request(CloudOperation operation) {
        if (operation instanceof CloudOperation.ListTypes) {
            return WireRequest.get("/flavors");
        }
        if (operation instanceof CloudOperation.ListMachines listing) {
            String after =
                    listing.afterMachineId() == null
                            ? ""
                            : "after=" + listing.afterMachineId() + "&";
            return WireRequest.get("/rentals?" + after + "most=" + WireConstants.PAGE_ENTRIES);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        if (operation instanceof CloudOperation.Terminate termination) {
            body.put("boxes", termination.machineIds());
            return new WireRequest("/rentals/return", body);
        }
        CloudOperation.Provision provision = (CloudOperation.Provision) operation;
        body.put("hire", provision.name());
        body.put("press", provision.type());
        body.put("yard", provision.zone());
        body.put("loaners", provision.spot());
        body.put("number", (long) provision.count());
        return new WireRequest("/rentals", body);
    }

    /** Decodes the machine types from the reply to {@link CloudOperation.ListTypes}. */
    public static List<MachineType> readTypes(FieldMap reply)
            throws FieldMap.InvalidFieldException {
        List<MachineType> types = new ArrayList<>();
        for (FieldMap type : reply.maps("presses")) {
            double onDemandPrice = type.numberOr("rate", DEFAULT_PRICE_PER_HOUR);
            types.add(
                    new MachineType(
                            type.text("sku"),
                            type.number("cpus"),
                            type.numberOr("gpus", 0),
                            type.number("mem_gb"),
                            type.numberOr("cache_gb", 0),
                            type.numberOr("pull_gb_per_s", DEFAULT_IMAGE_FETCH_GB_PER_S),
                            onDemandPrice,
                            type.numberOr("low_price", onDemandPrice),
                            type.numberOr("ready_s", DEFAULT_BOOT_S),
                            type.texts("yards")));
        }
        return types;
    }

    /** Decodes the ids of the machines that a provision request created. */
    public static List<String> readMachineIds(FieldMap reply)
            throws FieldMap.InvalidFieldException {
        return reply.texts("boxes");
    }

    /** Decodes one page of the list of machines. */
    public static MachineListPage readMachinePage(FieldMap reply)
            throws FieldMap.InvalidFieldException {
        List<ListedMachine> machines = new ArrayList<>();
        for (FieldMap machine : reply.maps("boxes")) {
            machines.add(
                    new ListedMachine(
                            machine.text("name_id"),
                            machine.text("press"),
                            machine.text("yard"),
                            machine.flagOr("loaners", false),
                            machine.text("status"),
                            machine.numberOr("age_s", 0)));
        }
        return new MachineListPage(machines, reply.flagOr("more", false));
    }
}
