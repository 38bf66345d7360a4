package org.shoreusher.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds maps and lists from a stream of tokens, whatever the format. */
final class MapDecoder {
    private MapDecoder() {}

    /**
     * Decodes a map.
     *
     * @throws IOException if the input is not exactly one map
     */
    static FieldMap decode(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new IOException("not a map");
        }
        Map<String, Object> map = readMap(parser);
        if (parser.nextToken() != null) {
            throw new IOException("more than one value");
        }
        return new FieldMap(map);
    }

    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMap(parser);
            case START_ARRAY -> readList(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            default -> throw new IOException("binary or unknown value");
        };
    }

    private static Map<String, Object> readMap(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            map.put(name, readValue(parser));
        }
        if (parser.currentToken() != JsonToken.END_OBJECT) {
            throw new IOException("unfinished map");
        }
        return map;
    }

    private static List<Object> readList(JsonParser parser) throws IOException {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() == null) {
                throw new IOException("unfinished list");
            }
            list.add(readValue(parser));
        }
        return list;
    }

    private static Object readInteger(JsonParser parser) throws IOException {
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return parser.getBigIntegerValue();
        }
        return parser.getLongValue();
    }
}
