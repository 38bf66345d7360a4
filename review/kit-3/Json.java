import java.util.Map;

/** Writes JSON. */
final class Json {
    private Json() {}

    static String write(Object value) {
        StringBuilder text = new StringBuilder();
        write(value, text);
        return text.toString();
    }

    private static void write(Object value, StringBuilder text) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                text.append(separator).append('"').append(entry.getKey()).append("\":");
                write(entry.getValue(), text);
                separator = ",";
            }
            text.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof Iterable<?> list) {
            text.append('[');
            String separator = "";
            for (Object element : list) {
                text.append(separator);
                write(element, text);
                separator = ",";
            }
            text.append(']');
        } else if (value instanceof String string) {
            text.append('"').append(string).append('"');
        } else {
            text.append(value);
        }
    }
}
