package org.shoreusher.cli;

import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;

/** Status of the process for the log. */
final class ProcessStatus {
    private static final double MB = 1024.0 * 1024.0;

    private ProcessStatus() {}

    /** Returns the event with the connections and the use of the heap. */
    static LogEvent statusEvent(int connections) {
        Runtime runtime = Runtime.getRuntime();
        long used = runtime.totalMemory() - runtime.freeMemory();
        return LogEvent.of(LogEventType.PROCESS_STATUS)
                .with("connections", connections)
                .with("heap_used_mb", Math.round(used / MB))
                .with("heap_reserved_mb", Math.round(runtime.totalMemory() / MB))
                .with("heap_max_mb", Math.round(runtime.maxMemory() / MB));
    }
}
