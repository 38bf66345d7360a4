package org.shoreusher.log;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One event for the operators' log, with its fields in the order in which they were added. No field
 * is added after the event has been passed on.
 */
public final class LogEvent {
    /**
     * A field of an event.
     *
     * @param name the name, in lower case with underscores
     * @param value a number, a boolean, or a text; a text with spaces is quoted in the log
     */
    public record Field(String name, Object value) {
        /**
         * Returns the value as it is written to the log, in quotes if it has spaces or is empty.
         */
        public String text() {
            String text = String.valueOf(value);
            return text.isEmpty() || text.indexOf(' ') >= 0 ? '"' + text + '"' : text;
        }
    }

    private final LogEventType type;
    private final List<Field> fields = new ArrayList<>();

    private LogEvent(LogEventType type) {
        this.type = type;
    }

    /** Returns an event without fields. */
    public static LogEvent of(LogEventType type) {
        return new LogEvent(type);
    }

    /** Adds a field and returns this event. */
    public LogEvent with(String name, Object value) {
        fields.add(new Field(name, value));
        return this;
    }

    /** The type of the event, which determines its name and level. */
    public LogEventType type() {
        return type;
    }

    /** The fields in their order, as an unmodifiable view. */
    public List<Field> fields() {
        return Collections.unmodifiableList(fields);
    }

    /**
     * Returns the text of a field's value, or null if there is no such field. In contrast to {@link
     * Field#text()}, the text is never quoted.
     */
    public String text(String name) {
        for (Field field : fields) {
            if (field.name().equals(name)) {
                return String.valueOf(field.value());
            }
        }
        return null;
    }

    /** Returns the event as one line: {@code event=NAME} and the fields, separated by spaces. */
    @Override
    public String toString() {
        StringBuilder line = new StringBuilder("event=").append(type.eventName());
        for (Field field : fields) {
            line.append(' ').append(field.name()).append('=').append(field.text());
        }
        return line.toString();
    }
}
