package org.shoreusher.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.settings.Tuning;

/**
 * A map in a message, with typed access to its fields. Messages consist of maps, lists, text,
 * numbers and booleans. Only Jackson's streaming API is used, since data binding costs a small
 * machine a second at start-up.
 */
public final class FieldMap {
    private static final CBORFactory CBOR =
            CBORFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(Tuning.MAX_DEPTH)
                                    .build())
                    .build();
    private static final JsonFactory JSON =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(Tuning.MAX_DEPTH)
                                    .build())
                    .build();

    /** Thrown for a field that is missing, or whose value has the wrong type or is not allowed. */
    public static final class Missing extends Exception {
        private static final long serialVersionUID = 1L;

        /**
         * An exception without a stack trace, since invalid input may be frequent.
         *
         * @param message names the field and what it must be
         */
        public Missing(String message) {
            super(message, null, false, false);
        }
    }

    private final Map<String, Object> map;

    /** A view of a map, which is not copied. */
    public FieldMap(Map<String, Object> map) {
        this.map = map;
    }

    /**
     * Decodes CBOR.
     *
     * @throws IOException if the bytes are not exactly one map
     */
    public static FieldMap cbor(byte[] body) throws IOException {
        try (JsonParser p = CBOR.createParser(body)) {
            return whole(p);
        }
    }

    /**
     * Decodes JSON.
     *
     * @throws IOException if the bytes are not exactly one map
     */
    public static FieldMap json(byte[] body) throws IOException {
        try (JsonParser p = JSON.createParser(body)) {
            return whole(p);
        }
    }

    /**
     * Decodes TOML.
     *
     * @throws IOException if the text is not valid TOML
     */
    public static FieldMap toml(byte[] text) throws IOException {
        // Not a constant: a controller reads TOML once, at its start.
        try (JsonParser p = new TomlFactory().createParser(text)) {
            return whole(p);
        }
    }

    private static FieldMap whole(JsonParser p) throws IOException {
        if (p.nextToken() != JsonToken.START_OBJECT) {
            throw new IOException("not a map");
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> map = (Map<String, Object>) value(p);
        if (p.nextToken() != null) {
            throw new IOException("more than one value");
        }
        return new FieldMap(map);
    }

    private static Object value(JsonParser p) throws IOException {
        switch (p.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (p.nextToken() == JsonToken.FIELD_NAME) {
                    String name = p.currentName();
                    p.nextToken();
                    map.put(name, value(p));
                }
                if (p.currentToken() != JsonToken.END_OBJECT) {
                    throw new IOException("unfinished map");
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    if (p.currentToken() == null) {
                        throw new IOException("unfinished list");
                    }
                    list.add(value(p));
                }
                return list;
            }
            case VALUE_STRING -> {
                return p.getText();
            }
            case VALUE_NUMBER_INT -> {
                return p.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? p.getBigIntegerValue()
                        : (Object) p.getLongValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return p.getDoubleValue();
            }
            case VALUE_TRUE -> {
                return Boolean.TRUE;
            }
            case VALUE_FALSE -> {
                return Boolean.FALSE;
            }
            case VALUE_NULL -> {
                return null;
            }
            default -> throw new IOException("binary or unknown value");
        }
    }

    /**
     * Encodes a map as CBOR.
     *
     * @throws IllegalStateException if a value has a type that messages do not have
     */
    public static byte[] toCbor(Map<String, ?> map) {
        return encode(CBOR, map);
    }

    /** Length of a map as JSON in bytes, which is how the protocol measures stored values. */
    public static int jsonLength(Map<String, ?> map) {
        return encode(JSON, map).length;
    }

    private static byte[] encode(JsonFactory format, Map<String, ?> map) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator g = format.createGenerator(out)) {
            write(g, map);
        } catch (IOException e) {
            throw new IllegalStateException("a message of this program can't be encoded", e);
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator g, Object v) throws IOException {
        if (v instanceof Map<?, ?> m) {
            g.writeStartObject(v, m.size());
            for (Map.Entry<?, ?> e : m.entrySet()) {
                g.writeFieldName((String) e.getKey());
                write(g, e.getValue());
            }
            g.writeEndObject();
        } else if (v instanceof Iterable<?> l) {
            g.writeStartArray();
            for (Object o : l) {
                write(g, o);
            }
            g.writeEndArray();
        } else if (v instanceof String s) {
            g.writeString(s);
        } else if (v instanceof Long || v instanceof Integer) {
            g.writeNumber(((Number) v).longValue());
        } else if (v instanceof java.math.BigInteger b) {
            g.writeNumber(b);
        } else if (v instanceof Number n) {
            g.writeNumber(n.doubleValue());
        } else if (v instanceof Boolean b) {
            g.writeBoolean(b);
        } else if (v == null) {
            g.writeNull();
        } else {
            throw new IOException("no wire form for " + v.getClass());
        }
    }

    /** The underlying map, not a copy. */
    public Map<String, Object> asMap() {
        return map;
    }

    /** Whether a field is present and not null. */
    public boolean has(String field) {
        return map.get(field) != null;
    }

    /** A required map. */
    public FieldMap map(String field) throws Missing {
        @SuppressWarnings("unchecked")
        Map<String, Object> m =
                map.get(field) instanceof Map<?, ?> v ? (Map<String, Object>) v : null;
        if (m == null) {
            throw new Missing(field + " must be a map");
        }
        return new FieldMap(m);
    }

    /** A list of maps; empty if the field is absent. */
    public List<FieldMap> list(String field) throws Missing {
        List<FieldMap> out = new ArrayList<>();
        for (Object o : rawList(field)) {
            if (!(o instanceof Map<?, ?>)) {
                throw new Missing(field + " must hold maps");
            }
            @SuppressWarnings("unchecked")
            Map<String, Object> m = (Map<String, Object>) o;
            out.add(new FieldMap(m));
        }
        return out;
    }

    /** A list of text; empty if the field is absent. */
    public List<String> texts(String field) throws Missing {
        List<String> out = new ArrayList<>();
        for (Object o : rawList(field)) {
            if (!(o instanceof String s)) {
                throw new Missing(field + " must hold text");
            }
            out.add(s);
        }
        return List.copyOf(out);
    }

    private List<?> rawList(String field) throws Missing {
        Object v = map.get(field);
        if (v == null) {
            return List.of();
        }
        if (v instanceof List<?> l) {
            return l;
        }
        throw new Missing(field + " must be a list");
    }

    /** A required text. */
    public String text(String field) throws Missing {
        if (map.get(field) instanceof String s) {
            return s;
        }
        throw new Missing(field + " must be text");
    }

    /** An optional text with a default value. */
    public String textOr(String field, String other) throws Missing {
        return has(field) ? text(field) : other;
    }

    /** A required finite number. */
    public double number(String field) throws Missing {
        if (map.get(field) instanceof Number n && Double.isFinite(n.doubleValue())) {
            return n.doubleValue();
        }
        throw new Missing(field + " must be a number");
    }

    /** An optional finite number with a default value. */
    public double numberOr(String field, double other) throws Missing {
        return has(field) ? number(field) : other;
    }

    /** A required integer. */
    public long whole(String field) throws Missing {
        Object v = map.get(field);
        if (v instanceof Long || v instanceof Integer) {
            return ((Number) v).longValue();
        }
        throw new Missing(field + " must be a whole number");
    }

    /** An optional integer with a default value. */
    public long wholeOr(String field, long other) throws Missing {
        return has(field) ? whole(field) : other;
    }

    /** A required boolean. */
    public boolean flag(String field) throws Missing {
        if (map.get(field) instanceof Boolean b) {
            return b;
        }
        throw new Missing(field + " must be true or false");
    }

    /** An optional boolean with a default value. */
    public boolean flagOr(String field, boolean other) throws Missing {
        return has(field) ? flag(field) : other;
    }
}
