package org.shoreusher.measure;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** A controller in its own process, with the lines that it has logged. Thread-safe. */
final class ControllerProcess {
    /** A line of the log; {@code atMs} is {@link System#nanoTime} in ms when it was read. */
    record Line(long atMs, String text) {}

    private final String host;
    private final List<String> command;
    private final List<Line> lines = new ArrayList<>();
    private Process process;

    ControllerProcess(String host, List<String> command) {
        this.host = host;
        this.command = List.copyOf(command);
    }

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

    private void read(Process of) {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(of.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                add(new Line(nowMs(), line));
            }
        } catch (IOException e) {
            add(new Line(nowMs(), "log ended: " + e.getMessage()));
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

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** The last matching line after a point in time; null if there is none. */
    synchronized Line lastLine(long afterMs, Predicate<String> predicate) {
        for (int i = lines.size() - 1; i >= 0 && lines.get(i).atMs() > afterMs; i--) {
            if (predicate.test(lines.get(i).text())) {
                return lines.get(i);
            }
        }
        return null;
    }

    /** All matching lines after a point in time. */
    synchronized List<Line> linesMatching(long afterMs, Predicate<String> predicate) {
        return lines.stream()
                .filter(line -> line.atMs() > afterMs && predicate.test(line.text()))
                .toList();
    }

    /** Current or peak resident memory in MB; NaN if the system does not provide it. */
    double memoryMb(boolean peak) {
        String field = peak ? "VmHWM:" : "VmRSS:";
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith(field)) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
                }
            }
        } catch (IOException e) {
            return Double.NaN;
        }
        return Double.NaN;
    }

    /** CPU time of the process in s; NaN if the system does not provide it. */
    double cpuTimeS() {
        return process.info().totalCpuDuration().map(d -> d.toMillis() / 1000.0).orElse(Double.NaN);
    }

    /** {@link System#nanoTime} in ms. */
    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
