package org.shoreusher.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

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
                                    .maxNestingDepth(WireConstants.MAX_NESTING_DEPTH)
                                    .build())
                    .build();
    private static final JsonFactory JSON =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(WireConstants.MAX_NESTING_DEPTH)
                                    .build())
                    .build();

    /** Thrown for a field that is missing, or whose value has the wrong type or is not allowed. */
    public static final class InvalidFieldException extends Exception {
        private static final long serialVersionUID = 1L;

        private final String problem;

        /**
         * An exception without a stack trace, since invalid input may be frequent.
         *
         * @param message names the field and what it must be
         */
        public InvalidFieldException(String message) {
            super(message, null, false, false);
            problem = message;
        }

        /** An exception whose message is the field and the problem with it. */
        InvalidFieldException(String field, String problem) {
            super(field + " " + problem, null, false, false);
            this.problem = problem;
        }

        /** What is wrong; without the field's name where {@link FieldMap} has thrown this. */
        public String problem() {
            return problem;
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
    public static FieldMap parseCbor(byte[] body) throws IOException {
        try (JsonParser parser = CBOR.createParser(body)) {
            return MapDecoder.decode(parser);
        }
    }

    /**
     * Decodes JSON.
     *
     * @throws IOException if the bytes are not exactly one map
     */
    public static FieldMap parseJson(byte[] body) throws IOException {
        try (JsonParser parser = JSON.createParser(body)) {
            return MapDecoder.decode(parser);
        }
    }

    /**
     * Decodes TOML.
     *
     * @throws IOException if the text is not valid TOML
     */
    public static FieldMap parseToml(byte[] text) throws IOException {
        // Not a constant: a controller reads TOML once, at its start.
        try (JsonParser parser = new TomlFactory().createParser(text)) {
            return MapDecoder.decode(parser);
        }
    }

    /**
     * Encodes a map as CBOR.
     *
     * @throws IllegalStateException if a value has a type that messages do not have
     */
    public static byte[] toCbor(Map<String, ?> map) {
        return MapEncoder.encode(CBOR, map);
    }

    /** Length of a map as JSON in bytes, which is how the protocol measures stored values. */
    public static int jsonLength(Map<String, ?> map) {
        return MapEncoder.encode(JSON, map).length;
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
    public FieldMap map(String field) throws InvalidFieldException {
        @SuppressWarnings("unchecked")
        Map<String, Object> nested =
                map.get(field) instanceof Map<?, ?> value ? (Map<String, Object>) value : null;
        if (nested == null) {
            throw new InvalidFieldException(field, "must be a map");
        }
        return new FieldMap(nested);
    }

    /** A list of maps; empty if the field is absent. */
    public List<FieldMap> maps(String field) throws InvalidFieldException {
        List<FieldMap> maps = new ArrayList<>();
        for (Object item : rawList(field)) {
            if (!(item instanceof Map<?, ?>)) {
                throw new InvalidFieldException(field, "must hold maps");
            }
            @SuppressWarnings("unchecked")
            Map<String, Object> element = (Map<String, Object>) item;
            maps.add(new FieldMap(element));
        }
        return maps;
    }

    /** A list of text; empty if the field is absent. */
    public List<String> texts(String field) throws InvalidFieldException {
        List<String> texts = new ArrayList<>();
        for (Object item : rawList(field)) {
            if (!(item instanceof String s)) {
                throw new InvalidFieldException(field, "must hold text");
            }
            texts.add(s);
        }
        return List.copyOf(texts);
    }

    private List<?> rawList(String field) throws InvalidFieldException {
        Object value = map.get(field);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new InvalidFieldException(field, "must be a list");
    }

    /** A required text. */
    public String text(String field) throws InvalidFieldException {
        if (map.get(field) instanceof String s) {
            return s;
        }
        throw new InvalidFieldException(field, "must be text");
    }

    /** An optional text with a default value. */
    public String textOr(String field, String defaultValue) throws InvalidFieldException {
        return has(field) ? text(field) : defaultValue;
    }

    /** A required finite number. */
    public double number(String field) throws InvalidFieldException {
        if (map.get(field) instanceof Number n && Double.isFinite(n.doubleValue())) {
            return n.doubleValue();
        }
        throw new InvalidFieldException(field, "must be a number");
    }

    /** An optional finite number with a default value. */
    public double numberOr(String field, double defaultValue) throws InvalidFieldException {
        return has(field) ? number(field) : defaultValue;
    }

    /** A required integer. */
    public long integer(String field) throws InvalidFieldException {
        Object value = map.get(field);
        if (value instanceof Long || value instanceof Integer) {
            return ((Number) value).longValue();
        }
        throw new InvalidFieldException(field, "must be a whole number");
    }

    /** An optional integer with a default value. */
    public long integerOr(String field, long defaultValue) throws InvalidFieldException {
        return has(field) ? integer(field) : defaultValue;
    }

    /** A required boolean. */
    public boolean flag(String field) throws InvalidFieldException {
        if (map.get(field) instanceof Boolean b) {
            return b;
        }
        throw new InvalidFieldException(field, "must be true or false");
    }

    /** An optional boolean with a default value. */
    public boolean flagOr(String field, boolean defaultValue) throws InvalidFieldException {
        return has(field) ? flag(field) : defaultValue;
    }
}
