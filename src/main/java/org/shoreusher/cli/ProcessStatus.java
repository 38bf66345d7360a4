package org.shoreusher.cli;

import org.shoreusher.log.LogEvent;
import org.shoreusher.log.LogEventType;

/** Builds the log event on the connections and memory of the process. */
final class ProcessStatus {
    private static final double BYTES_PER_MB = 1024.0 * 1024.0;

    private ProcessStatus() {}

    /** Returns the event with the number of open connections and the heap sizes in MB. */
    static LogEvent statusEvent(int connections) {
        Runtime runtime = Runtime.getRuntime();
        long usedBytes = runtime.totalMemory() - runtime.freeMemory();
        return LogEvent.of(LogEventType.PROCESS_STATUS)
                .with("connections", connections)
                .with("heap_used_mb", Math.round(usedBytes / BYTES_PER_MB))
                .with("heap_reserved_mb", Math.round(runtime.totalMemory() / BYTES_PER_MB))
                .with("heap_max_mb", Math.round(runtime.maxMemory() / BYTES_PER_MB));
    }
}
