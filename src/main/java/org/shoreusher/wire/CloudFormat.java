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
    public static StateFormat.Request request(CloudOp op) {
        if (op instanceof CloudOp.Types) {
            return new StateFormat.Request("/flavors", null);
        }
        if (op instanceof CloudOp.Listing list) {
            String after =
                    list.afterMachineId() == null ? "" : "after=" + list.afterMachineId() + "&";
            return new StateFormat.Request("/rentals?" + after + "most=" + Tuning.PAGE, null);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        if (op instanceof CloudOp.Return back) {
            body.put("boxes", back.machineIds());
            return new StateFormat.Request("/rentals/return", body);
        }
        CloudOp.Rent rent = (CloudOp.Rent) op;
        body.put("hire", rent.name());
        body.put("press", rent.type());
        body.put("yard", rent.zone());
        body.put("loaners", rent.spot());
        body.put("number", (long) rent.count());
        return new StateFormat.Request("/rentals", body);
    }

    /** Decodes the machine types of a response. */
    public static List<MachineType> types(FieldMap t) throws FieldMap.Missing {
        List<MachineType> out = new ArrayList<>();
        for (FieldMap m : t.list("presses")) {
            double price = m.numberOr("rate", 1);
            out.add(
                    new MachineType(
                            m.text("sku"),
                            m.number("cpus"),
                            m.numberOr("gpus", 0),
                            m.number("mem_gb"),
                            m.numberOr("cache_gb", 0),
                            m.numberOr("pull_gb_per_s", 1),
                            price,
                            m.numberOr("low_price", price),
                            m.numberOr("ready_s", 60),
                            m.texts("yards")));
        }
        return out;
    }

    /** Decodes the names of the machines that a provision request has created. */
    public static List<String> rented(FieldMap t) throws FieldMap.Missing {
        return t.texts("boxes");
    }

    /** Decodes a page of the inventory. */
    public static ListPage machines(FieldMap t) throws FieldMap.Missing {
        List<Listed> out = new ArrayList<>();
        for (FieldMap m : t.list("boxes")) {
            out.add(
                    new Listed(
                            m.text("name_id"),
                            m.text("press"),
                            m.text("yard"),
                            m.flagOr("loaners", false),
                            m.text("status"),
                            m.numberOr("age_s", 0)));
        }
        return new ListPage(out, t.flagOr("more", false));
    }
}
