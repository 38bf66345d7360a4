package org.shoreusher.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds maps and lists from the tokens of a CBOR, JSON or TOML parser. */
final class MapDecoder {
    private MapDecoder() {}

    /**
     * Decodes a map.
     *
     * @throws IOException if the input is not exactly one map
     */
    static FieldMap decode(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw unexpected("a map", parser.currentToken());
        }
        Map<String, Object> map = readMap(parser);
        if (parser.nextToken() != null) {
            throw unexpected("the end of the input after the map", parser.currentToken());
        }
        return new FieldMap(map);
    }

    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMap(parser);
            case START_ARRAY -> readList(parser);
            case VALUE_STRING -> requireValidText(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            default ->
                    throw new IOException(
                            "a value has an unsupported type, such as binary or a date; allowed"
                                    + " are maps, lists, text, numbers, booleans and null");
        };
    }

    private static Map<String, Object> readMap(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = requireValidText(parser.currentName());
            parser.nextToken();
            map.put(name, readValue(parser));
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw unexpected("a field name or the end of the map", parser.currentToken());
        }
        return map;
    }

    private static List<Object> readList(JsonParser parser) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() == null) {
                throw unexpected("an element or the end of the list", null);
            }
            list.add(readValue(parser));
        }
        return list;
    }

    /**
     * Returns the text unless it contains half a surrogate pair, as an escape sequence in JSON or
     * TOML can. Such a text can't be encoded again.
     */
    private static String requireValidText(String text) throws IOException {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean isPair =
                    Character.isHighSurrogate(c)
                            && i + 1 < text.length()
                            && Character.isLowSurrogate(text.charAt(i + 1));
            if (isPair) {
                i++;
            } else if (Character.isSurrogate(c)) {
                throw new IOException("a text contains half a surrogate pair");
            }
        }
        return text;
    }

    private static Object readInteger(JsonParser parser) throws IOException {
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return parser.getBigIntegerValue();
        }
        return parser.getLongValue();
    }

    private static IOException unexpected(String expected, JsonToken found) {
        return new IOException("expected " + expected + ", but found " + describe(found));
    }

    /** Describes a token in an error message; null is the end of the input. */
    private static String describe(JsonToken token) {
        if (token == null) {
            return "the end of the input";
        }
        return switch (token) {
            case START_OBJECT, END_OBJECT, FIELD_NAME -> "a map";
            case START_ARRAY, END_ARRAY -> "a list";
            case VALUE_STRING -> "text";
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> "a number";
            case VALUE_TRUE, VALUE_FALSE -> "a boolean";
            case VALUE_NULL -> "null";
            default -> "a value of an unsupported type";
        };
    }
}
