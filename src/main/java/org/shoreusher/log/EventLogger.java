package org.shoreusher.log;

import org.slf4j.Logger;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes events through SLF4J's key-value API. */
public final class EventLogger {
    private EventLogger() {}

    /** Logs an event at the level of its type. */
    public static void log(Logger logger, LogEvent event) {
        Level level = event.type().isDebugOnly() ? Level.DEBUG : Level.INFO;
        if (!logger.isEnabledForLevel(level)) {
            return;
        }
        LoggingEventBuilder line =
                logger.atLevel(level).addKeyValue("event", event.type().eventName());
        for (LogEvent.Field field : event.fields()) {
            line = line.addKeyValue(field.name(), field.text());
        }
        line.log("");
    }
}
