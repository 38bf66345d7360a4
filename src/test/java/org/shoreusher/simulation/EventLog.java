package org.shoreusher.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;

/** The events that the controllers of a simulation have logged, in the order of logging. */
final class EventLog {
    /**
     * One event.
     *
     * @param atMs the simulated time, in ms
     * @param host the host of the controller that logged it
     * @param line the event as it appears in the log
     */
    record Entry(long atMs, String host, LogEvent event, String line) {
        boolean is(LogEventType type) {
            return event.type() == type;
        }

        /** Returns the text of a field; empty if the event has no such field. */
        String text(String field) {
            String text = event.text(field);
            return text == null ? "" : text;
        }

        @Override
        public String toString() {
            return atMs + " " + host + " " + line;
        }
    }

    private final List<Entry> entries = new ArrayList<>();

    Entry add(long atMs, String host, LogEvent event) {
        Entry entry = new Entry(atMs, host, event, event.toString());
        entries.add(entry);
        return entry;
    }

    Stream<Entry> entries() {
        return entries.stream();
    }

    /** Returns the events of a type, in the order of logging. */
    Stream<Entry> entries(LogEventType type) {
        return entries().filter(entry -> entry.is(type));
    }

    /** Returns the last event; there must be one. */
    Entry last() {
        return entries.get(entries.size() - 1);
    }

    boolean contains(LogEventType type) {
        return count(type) > 0;
    }

    long count(LogEventType type) {
        return entries(type).count();
    }

    /** Returns all events, one per line. */
    @Override
    public String toString() {
        return entries.stream().map(Entry::toString).collect(Collectors.joining("\n"));
    }
}
