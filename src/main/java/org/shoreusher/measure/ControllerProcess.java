package org.shoreusher.measure;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.shoreusher.log.LogEventType;

/** A controller in its own process, with the lines that it has logged. Thread-safe. */
final class ControllerProcess {
    /** A line of the log; {@code atMs} is {@link System#nanoTime} in ms when it was read. */
    record Line(long atMs, String text) {
        /** Whether the line is the log line of an event of this type. */
        boolean isEvent(LogEventType type) {
            return text.contains("event=" + type.eventName() + " ");
        }
    }

    private static final double KB_PER_MB = 1024.0;

    private final String host;
    private final List<String> command;
    private final List<Line> lines = new ArrayList<>();
    private Process process;

    ControllerProcess(String host, List<String> command) {
        this.host = host;
        this.command = List.copyOf(command);
    }

    /** The host name in the settings. */
    String host() {
        return host;
    }

    /** Starts the process, or restarts it. */
    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("LOG_LEVEL", "debug");
        process = builder.start();
        Process started = process;
        Thread reader = new Thread(() -> read(started), host);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process controller) {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                controller.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                add(new Line(nowMs(), line));
            }
        } catch (IOException e) {
            add(new Line(nowMs(), "log of " + host + " cannot be read further: " + e.getMessage()));
        }
    }

    private synchronized void add(Line line) {
        lines.add(line);
    }

    /** Kills the process (SIGKILL) and waits until it has exited. */
    void killAndWait() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Kills the process (SIGKILL) without waiting. */
    void kill() {
        process.destroyForcibly();
    }

    /** Whether the process has been started and has not exited. */
    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** The last event of one of the types after a point in time; empty if there is none. */
    synchronized Optional<Line> lastEvent(long afterMs, LogEventType... types) {
        for (int i = lines.size() - 1; i >= 0 && lines.get(i).atMs() > afterMs; i--) {
            Line line = lines.get(i);
            if (Arrays.stream(types).anyMatch(line::isEvent)) {
                return Optional.of(line);
            }
        }
        return Optional.empty();
    }

    /** Number of events of a type that have been logged. */
    synchronized long eventCount(LogEventType type) {
        return lines.stream().filter(line -> line.isEvent(type)).count();
    }

    /** The text of the last line of the log; "no line" if the log is empty. */
    synchronized String lastLineText() {
        return lines.isEmpty() ? "no line" : lines.get(lines.size() - 1).text();
    }

    /** Resident memory in MB; NaN if the system does not provide it. */
    double memoryMb() {
        return memoryMb("VmRSS:");
    }

    /** Largest resident memory so far in MB; NaN if the system does not provide it. */
    double peakMemoryMb() {
        return memoryMb("VmHWM:");
    }

    private double memoryMb(String field) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith(field)) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / KB_PER_MB;
                }
            }
        } catch (IOException e) {
            return Double.NaN;
        }
        return Double.NaN;
    }

    /** CPU time of the process in s; NaN if the system does not provide it. */
    double cpuTimeS() {
        return process.info()
                .totalCpuDuration()
                .map(duration -> duration.toMillis() / 1000.0)
                .orElse(Double.NaN);
    }

    /** {@link System#nanoTime} in ms. */
    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
