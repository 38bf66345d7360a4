package org.shoreusher.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigInteger;
import java.util.Map;

/** Encodes maps and lists with a CBOR or JSON generator. */
final class MapEncoder {
    private static final int INITIAL_BUFFER_BYTES = 256;

    private MapEncoder() {}

    /**
     * Encodes a map.
     *
     * @throws MessageEncodingException if a value has a type, or a text has characters, that
     *     messages cannot contain
     */
    static byte[] encode(JsonFactory format, Map<String, ?> map) {
        ByteArrayOutputStream output = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator generator = format.createGenerator(output)) {
            writeValue(generator, map);
        } catch (IOException e) {
            throw new MessageEncodingException(format.getFormatName(), e);
        }
        return output.toByteArray();
    }

    private static void writeValue(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            writeMap(generator, map);
        } else if (value instanceof Iterable<?> list) {
            generator.writeStartArray();
            for (Object element : list) {
                writeValue(generator, element);
            }
            generator.writeEndArray();
        } else if (value instanceof String text) {
            generator.writeString(text);
        } else if (value instanceof Number number) {
            writeNumber(generator, number);
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value == null) {
            generator.writeNull();
        } else {
            throw new IOException(
                    "a value must be a map, list, text, number, boolean or null, but is a "
                            + value.getClass().getName());
        }
    }

    private static void writeMap(JsonGenerator generator, Map<?, ?> map) throws IOException {
        generator.writeStartObject(map, map.size());
        for (Map.Entry<?, ?> entry : map.entrySet()) {
            generator.writeFieldName((String) entry.getKey());
            writeValue(generator, entry.getValue());
        }
        generator.writeEndObject();
    }

    private static void writeNumber(JsonGenerator generator, Number number) throws IOException {
        if (number instanceof Long || number instanceof Integer) {
            generator.writeNumber(number.longValue());
        } else if (number instanceof BigInteger integer) {
            generator.writeNumber(integer);
        } else {
            generator.writeNumber(number.doubleValue());
        }
    }
}
