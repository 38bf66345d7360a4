package org.shoreusher.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.settings.Tuning;

/** Requests to the state service and entries of its answers. */
public final class StateFormat {
    private StateFormat() {}

    /** A request; a null body means GET. */
    public record Request(String path, Map<String, Object> body) {}

    /** One key as read or as changed; a null value: removed. */
    public record Entry(String key, Map<String, Object> value, long version) {}

    /** The HTTP request of a call. */
    public static Request request(StateOp op) {
        if (op instanceof StateOp.Get get) {
            return new Request("/store/" + get.key(), null);
        }
        if (op instanceof StateOp.Page page) {
            String after = page.after() == null ? "" : "&after=" + page.after();
            return new Request("/store?prefix=" + after + "&most=" + Tuning.PAGE, null);
        }
        if (op instanceof StateOp.Watch watch) {
            return new Request(
                    "/watch?prefix=&after=" + watch.after() + "&block_ms=" + watch.blockMs(), null);
        }
        StateOp.Multi multi = (StateOp.Multi) op;
        List<Object> guards = new ArrayList<>();
        multi.guards().forEach((key, version) -> guards.add(map("k", key, "stamp", version)));
        List<Object> writes = new ArrayList<>();
        multi.writes()
                .forEach(
                        (key, value) ->
                                writes.add(
                                        value == null
                                                ? map("remove", key)
                                                : map("write", key, "value", value)));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("guards", guards);
        if (!writes.isEmpty()) {
            body.put("writes", writes);
        }
        return new Request("/multi", body);
    }

    private static Map<String, Object> map(Object... pairs) {
        Map<String, Object> m = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            m.put((String) pairs[i], pairs[i + 1]);
        }
        return m;
    }

    /** The single key of a read. */
    public static Entry entry(FieldMap t) throws FieldMap.Missing {
        return new Entry(t.text("k"), t.map("value").asMap(), t.whole("stamp"));
    }

    /** The keys of a page. */
    public static List<Entry> page(FieldMap t) throws FieldMap.Missing {
        List<Entry> out = new ArrayList<>();
        for (FieldMap e : t.list("entries")) {
            out.add(entry(e));
        }
        return out;
    }

    /** Whether further pages follow. */
    public static boolean more(FieldMap t) throws FieldMap.Missing {
        return t.flagOr("more", false);
    }

    /** The store's revision that an answer tells. */
    public static long revision(FieldMap t) throws FieldMap.Missing {
        return t.whole("ledger");
    }

    /** The changes a watch saw, in order. */
    public static List<Entry> changes(FieldMap t) throws FieldMap.Missing {
        List<Entry> out = new ArrayList<>();
        for (FieldMap e : t.list("log")) {
            out.add(
                    e.has("remove")
                            ? new Entry(e.text("remove"), null, e.whole("stamp"))
                            : new Entry(e.text("write"), e.map("value").asMap(), e.whole("stamp")));
        }
        return out;
    }

    /** The keys whose guards failed. */
    public static List<String> failed(FieldMap t) throws FieldMap.Missing {
        return t.texts("failed");
    }
}
