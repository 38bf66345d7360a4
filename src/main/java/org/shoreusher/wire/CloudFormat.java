package org.shoreusher.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Command.ListPage;
import org.shoreusher.core.Command.Listed;
import org.shoreusher.core.Effect.CloudOp;
import org.shoreusher.core.MachineType;
import org.shoreusher.settings.Tuning;

/**
 * Encodes requests to the cloud and decodes its responses. The protocol calls machine types
 * "presses", zones "yards", machines "boxes" and spot machines "loaners".
 */
public final class CloudFormat {
    private CloudFormat() {}

    /** The HTTP request of a cloud operation. */
    public static StateFormat.Request request(CloudOp operation) {
        if (operation instanceof CloudOp.Types) {
            return new StateFormat.Request("/flavors", null);
        }
        if (operation instanceof CloudOp.Listing listing) {
            String after =
                    listing.afterMachineId() == null
                            ? ""
                            : "after=" + listing.afterMachineId() + "&";
            return new StateFormat.Request(
                    "/rentals?" + after + "most=" + Tuning.PAGE_ENTRIES, null);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        if (operation instanceof CloudOp.Return termination) {
            body.put("boxes", termination.machineIds());
            return new StateFormat.Request("/rentals/return", body);
        }
        CloudOp.Rent provision = (CloudOp.Rent) operation;
        body.put("hire", provision.name());
        body.put("press", provision.type());
        body.put("yard", provision.zone());
        body.put("loaners", provision.spot());
        body.put("number", (long) provision.count());
        return new StateFormat.Request("/rentals", body);
    }

    /** Decodes the machine types of a response. */
    public static List<MachineType> readTypes(FieldMap response)
            throws FieldMap.InvalidFieldException {
        List<MachineType> types = new ArrayList<>();
        for (FieldMap type : response.maps("presses")) {
            double price = type.numberOr("rate", 1);
            types.add(
                    new MachineType(
                            type.text("sku"),
                            type.number("cpus"),
                            type.numberOr("gpus", 0),
                            type.number("mem_gb"),
                            type.numberOr("cache_gb", 0),
                            type.numberOr("pull_gb_per_s", 1),
                            price,
                            type.numberOr("low_price", price),
                            type.numberOr("ready_s", 60),
                            type.texts("yards")));
        }
        return types;
    }

    /** Decodes the names of the machines that a provision request has created. */
    public static List<String> readMachineNames(FieldMap response)
            throws FieldMap.InvalidFieldException {
        return response.texts("boxes");
    }

    /** Decodes a page of the inventory. */
    public static ListPage readMachinePage(FieldMap response)
            throws FieldMap.InvalidFieldException {
        List<Listed> machines = new ArrayList<>();
        for (FieldMap machine : response.maps("boxes")) {
            machines.add(
                    new Listed(
                            machine.text("name_id"),
                            machine.text("press"),
                            machine.text("yard"),
                            machine.flagOr("loaners", false),
                            machine.text("status"),
                            machine.numberOr("age_s", 0)));
        }
        return new ListPage(machines, response.flagOr("more", false));
    }
}
