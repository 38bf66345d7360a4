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
        if (logger.isEnabledForLevel(level)) {
            addFields(logger.atLevel(level), event).log("");
        }
    }

    /** Logs an event at the error level, with the stack trace of its cause. */
    public static void logError(Logger logger, LogEvent event, Throwable cause) {
        addFields(logger.atError(), event).setCause(cause).log("");
    }

    private static LoggingEventBuilder addFields(LoggingEventBuilder line, LogEvent event) {
        LoggingEventBuilder builder = line.addKeyValue("event", event.type().eventName());
        for (LogEvent.Field field : event.fields()) {
            builder = builder.addKeyValue(field.name(), field.text());
        }
        return builder;
    }
}
