package org.shoreusher.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.Effect.StateOp;
import org.shoreusher.settings.Tuning;

/**
 * Encodes requests to the key-value store and decodes its responses. The protocol calls an entry's
 * version "stamp", the store's revision "ledger", and preconditions "guards".
 */
public final class StateFormat {
    private StateFormat() {}

    /** An HTTP request: a GET if the body is null, else a POST. */
    public record Request(String path, Map<String, Object> body) {}

    /** One key as read or as changed; the value is null if the key was removed. */
    public record Entry(String key, Map<String, Object> value, long version) {}

    /** The HTTP request of a store operation. */
    public static Request request(StateOp op) {
        if (op instanceof StateOp.Get get) {
            return new Request("/store/" + get.key(), null);
        }
        if (op instanceof StateOp.Page page) {
            String after = page.afterKey() == null ? "" : "&after=" + page.afterKey();
            return new Request("/store?prefix=" + after + "&most=" + Tuning.PAGE, null);
        }
        if (op instanceof StateOp.Watch watch) {
            return new Request(
                    "/watch?prefix=&after="
                            + watch.afterRevision()
                            + "&block_ms="
                            + watch.blockMs(),
                    null);
        }
        StateOp.Multi multi = (StateOp.Multi) op;
        List<Object> guards = new ArrayList<>();
        multi.preconditions()
                .forEach((key, version) -> guards.add(map("k", key, "stamp", version)));
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

    /** Decodes the entry of a single read. */
    public static Entry entry(FieldMap t) throws FieldMap.Missing {
        return new Entry(t.text("k"), t.map("value").asMap(), t.whole("stamp"));
    }

    /** Decodes the entries of a page. */
    public static List<Entry> page(FieldMap t) throws FieldMap.Missing {
        List<Entry> out = new ArrayList<>();
        for (FieldMap e : t.list("entries")) {
            out.add(entry(e));
        }
        return out;
    }

    /** Whether more pages follow this one. */
    public static boolean more(FieldMap t) throws FieldMap.Missing {
        return t.flagOr("more", false);
    }

    /** The store's revision at the time of the response. */
    public static long revision(FieldMap t) throws FieldMap.Missing {
        return t.whole("ledger");
    }

    /** Decodes the changes that a watch returned, in order of revision. */
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

    /** The keys whose preconditions failed. */
    public static List<String> failed(FieldMap t) throws FieldMap.Missing {
        return t.texts("failed");
    }
}
