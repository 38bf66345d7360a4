package org.shoreusher.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A map of field names to values, with typed access to the fields. Messages consist of maps, lists,
 * text, numbers, booleans and null. A null value counts as absent. Only Jackson's streaming API is
 * used, because data binding delays the start by a second on a small machine.
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
         * Creates an exception without a stack trace, because invalid input may be frequent.
         *
         * @param message names the field and the allowed values
         */
        public InvalidFieldException(String message) {
            super(message, null, /* enableSuppression= */ false, /* writableStackTrace= */ false);
            problem = message;
        }

        /**
         * Creates an exception without a stack trace.
         *
         * @param problem what the field must be, for example "must be text"
         * @param found what was found instead, for example "it is a list"
         */
        InvalidFieldException(String field, String problem, String found) {
            super(
                    field + " " + problem + ", but " + found,
                    null,
                    /* enableSuppression= */ false,
                    /* writableStackTrace= */ false);
            this.problem = problem;
        }

        /**
         * The violated requirement, for callers that add their own path to the field. Contains the
         * name of the field only if the exception was created with a whole message.
         */
        public String problem() {
            return problem;
        }
    }

    private final Map<String, Object> map;

    /** Wraps a map without copying it. */
    public FieldMap(Map<String, Object> map) {
        this.map = map;
    }

    /**
     * Decodes CBOR.
     *
     * @throws IOException if the bytes are not exactly one valid map
     */
    public static FieldMap parseCbor(byte[] body) throws IOException {
        try (JsonParser parser = CBOR.createParser(body)) {
            FieldMap fields = MapDecoder.decode(parser);
            CborTextValidator.validate(body);
            return fields;
        }
    }

    /**
     * Decodes JSON.
     *
     * @throws IOException if the bytes are not exactly one valid map
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
        // Not a constant: a controller parses TOML only once, when it starts.
        try (JsonParser parser = new TomlFactory().createParser(text)) {
            return MapDecoder.decode(parser);
        }
    }

    /**
     * Encodes a map as CBOR.
     *
     * @throws MessageEncodingException if a value has a type, or a text has characters, that
     *     messages cannot contain
     */
    public static byte[] toCbor(Map<String, ?> map) {
        return MapEncoder.encode(CBOR, map);
    }

    /** The length of a map in bytes of JSON. The store's limit on values is in this unit. */
    public static int jsonLength(Map<String, ?> map) {
        return MapEncoder.encode(JSON, map).length;
    }

    /** The underlying map, not a copy. */
    public Map<String, Object> asMap() {
        return map;
    }

    /** Whether the field is present and not null. */
    public boolean has(String field) {
        return map.get(field) != null;
    }

    /** The value of a required map field. */
    public FieldMap map(String field) throws InvalidFieldException {
        @SuppressWarnings("unchecked")
        Map<String, Object> nested =
                map.get(field) instanceof Map<?, ?> value ? (Map<String, Object>) value : null;
        if (nested == null) {
            throw invalid(field, "must be a map");
        }
        return new FieldMap(nested);
    }

    /** A list of maps; empty if the field is absent. */
    public List<FieldMap> maps(String field) throws InvalidFieldException {
        List<FieldMap> maps = new ArrayList<>();
        for (Object item : listOrEmpty(field)) {
            if (!(item instanceof Map<?, ?>)) {
                throw invalidElement(field, "must be a list of maps", item);
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
        for (Object item : listOrEmpty(field)) {
            if (!(item instanceof String text)) {
                throw invalidElement(field, "must be a list of text", item);
            }
            texts.add(text);
        }
        return List.copyOf(texts);
    }

    private List<?> listOrEmpty(String field) throws InvalidFieldException {
        Object value = map.get(field);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw invalid(field, "must be a list");
    }

    /** The value of a required text field. */
    public String text(String field) throws InvalidFieldException {
        if (map.get(field) instanceof String text) {
            return text;
        }
        throw invalid(field, "must be text");
    }

    /** The value of an optional text field, or the default value if it is absent. */
    public String textOr(String field, String defaultValue) throws InvalidFieldException {
        return has(field) ? text(field) : defaultValue;
    }

    /** The value of a required number, which must be finite. */
    public double number(String field) throws InvalidFieldException {
        if (map.get(field) instanceof Number number && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        throw invalid(field, "must be a number");
    }

    /** The value of an optional finite number, or the default value if it is absent. */
    public double numberOr(String field, double defaultValue) throws InvalidFieldException {
        return has(field) ? number(field) : defaultValue;
    }

    /** The value of a required integer of at most 64 bits. */
    public long integer(String field) throws InvalidFieldException {
        Object value = map.get(field);
        if (value instanceof Long || value instanceof Integer) {
            return ((Number) value).longValue();
        }
        throw invalid(field, "must be a whole number");
    }

    /** The value of an optional integer, or the default value if it is absent. */
    public long integerOr(String field, long defaultValue) throws InvalidFieldException {
        return has(field) ? integer(field) : defaultValue;
    }

    /** The value of a required boolean. */
    public boolean flag(String field) throws InvalidFieldException {
        if (map.get(field) instanceof Boolean flag) {
            return flag;
        }
        throw invalid(field, "must be true or false");
    }

    /** The value of an optional boolean, or the default value if it is absent. */
    public boolean flagOr(String field, boolean defaultValue) throws InvalidFieldException {
        return has(field) ? flag(field) : defaultValue;
    }

    private InvalidFieldException invalid(String field, String problem) {
        String found = has(field) ? describe(map.get(field)) : "missing";
        return new InvalidFieldException(field, problem, "it is " + found);
    }

    private static InvalidFieldException invalidElement(
            String field, String problem, Object element) {
        return new InvalidFieldException(field, problem, "an element is " + describe(element));
    }

    /**
     * Describes a value in an error message. Text is not quoted, since it may be long and may not
     * be valid Unicode.
     */
    private static String describe(Object value) {
        if (value instanceof Map<?, ?>) {
            return "a map";
        } else if (value instanceof List<?>) {
            return "a list";
        } else if (value instanceof String) {
            return "text";
        } else if (value instanceof BigInteger) {
            return "an integer of more than 64 bits";
        }
        return String.valueOf(value);
    }
}
