package org.shoreusher.cli;

/** Status of the process for the log. */
final class ProcessStatus {
    private static final double MB = 1024.0 * 1024.0;

    private ProcessStatus() {}

    /** One line with the connections and the use of the heap. */
    static String summary(int connections) {
        Runtime runtime = Runtime.getRuntime();
        long used = runtime.totalMemory() - runtime.freeMemory();
        return ("process: %d connections, heap %.0f MB in use with garbage,"
                        + " %.0f MB reserved of %.0f MB")
                .formatted(
                        connections,
                        used / MB,
                        runtime.totalMemory() / MB,
                        runtime.maxMemory() / MB);
    }
}
