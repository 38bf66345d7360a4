package org.shoreusher.cli;

import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.jar.JarFile;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.Tree;

/**
 * Run by the build, never in service: starts a controller on loopback with stand-ins of the state
 * service and the cloud that know a handful of answers, asks it a few things, and ends, so that the
 * Java machine can archive the classes that a start and the first requests need.
 */
final class Rehearsal {
    private static final String SETTINGS =
            """
            {"host_name":"rehearsal","zone":"z","front":"127.0.0.1:%d","back":"127.0.0.1:%d",
             "members":[],
             "endpoints":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
             "deployment":{"count":1,"zones":["z"],
              "teams":[{"name":"t","cpus":1.0,"cpus_max":1.0,"gpus":0.0,"gpus_max":0.0}],
              "objectives":[],
              "workers":{"report_s":1.0,"lease_s":10.0,"cancel_s":30.0},
              "state":{"rps":100.0,"write_rps":50.0,"value_kb":8.0,"txn_ops":12},
              "cloud":{"rps":5.0,"list_lag_s":5.0},"limits":{"sockets":1000},
              "clock_off_ms":25.0}}\
            """;

    /** How often the requests are made. */
    private static final int ROUNDS = 5;

    private static final AtomicLong REVISION = new AtomicLong(1);

    private Rehearsal() {}

    public static void main(String[] args) throws Exception {
        loadOwnClasses();
        int front = freePort();
        int back = freePort();
        int state = standIn(Rehearsal::stateAnswer);
        int cloud = standIn(Rehearsal::cloudAnswer);
        Path file = Files.createTempFile("rehearsal", ".json");
        Files.writeString(
                file, SETTINGS.formatted(front, back, cloud, state), StandardCharsets.UTF_8);
        Thread program = new Thread(() -> Main.main(new String[] {"--config", file.toString()}));
        program.setDaemon(true);
        program.start();
        Thread.sleep(2_000);
        io.netty.channel.nio.NioEventLoopGroup group =
                new io.netty.channel.nio.NioEventLoopGroup(1);
        HttpCaller caller = new HttpCaller(group.next(), new Settings.Address("127.0.0.1", front));
        for (int i = 1; i <= ROUNDS; i++) {
            ask(group, caller, "/ready", null);
            ask(group, caller, "/v2/runs", job("wk-00000" + i));
            ask(group, caller, "/v2/runs/wk-00000" + i, null);
            ask(
                    group,
                    caller,
                    "/hello",
                    Map.of(
                            "box",
                            "host-1",
                            "addr",
                            "127.0.0.1:" + cloud,
                            "press",
                            "p",
                            "yard",
                            "z",
                            "loaners",
                            true,
                            "shift",
                            1L,
                            "tally",
                            (long) i,
                            "baton",
                            1L,
                            "sheets",
                            List.of(
                                    Map.of(
                                            "sheet",
                                            "wk-000001/0",
                                            "try",
                                            (1L << 24) + 1,
                                            "status",
                                            "exited",
                                            "cause",
                                            "done"))));
            Thread.sleep(200);
        }
        ask(group, caller, "/v2/runs/wk-000002/cancel", Map.of());
        Files.delete(file);
        System.exit(0);
    }

    private static void ask(
            io.netty.channel.nio.NioEventLoopGroup group,
            HttpCaller caller,
            String path,
            Map<String, Object> body)
            throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(1);
        group.next()
                .execute(
                        () ->
                                caller.call(
                                        path,
                                        body,
                                        1_000,
                                        (status, answer) -> {
                                            System.out.println(path + " answered " + status);
                                            answered.countDown();
                                        }));
        answered.await(2, TimeUnit.SECONDS);
    }

    private static void loadOwnClasses() throws IOException, ClassNotFoundException {
        String jar = System.getProperty("java.class.path").split(File.pathSeparator)[0];
        try (JarFile file = new JarFile(jar)) {
            for (var entry : (Iterable<java.util.jar.JarEntry>) file.stream()::iterator) {
                if (entry.getName().endsWith(".class")) {
                    Class.forName(
                            entry.getName()
                                    .replace('/', '.')
                                    .substring(0, entry.getName().length() - ".class".length()),
                            false,
                            Rehearsal.class.getClassLoader());
                }
            }
        }
    }

    private static Map<String, Object> job(String id) {
        Map<String, Object> m =
                new HashMap<>(
                        Map.of(
                                "name_id", id, "queue", "c", "crew", "t", "shape", "sweep",
                                "urgency", "high", "sheets", 2L, "cpus", 1.0, "gpus", 0.0, "mem_gb",
                                1.0, "plate", "i"));
        m.putAll(
                Map.of(
                        "size_gb",
                        1.0,
                        "one_zone",
                        false,
                        "scatter",
                        false,
                        "loaners",
                        true,
                        "runtime_s",
                        5.0,
                        "due_s",
                        60.0));
        return m;
    }

    /**
     * Answers that let a controller take its parts: an empty store in which every write succeeds.
     */
    private static Map<String, Object> stateAnswer(String request) {
        if (request.equals("POST /multi")) {
            return Map.of("ledger", REVISION.incrementAndGet());
        }
        return Map.of(
                "entries", List.of(), "log", List.of(), "more", false, "ledger", REVISION.get());
    }

    private static Map<String, Object> cloudAnswer(String request) {
        if (request.equals("GET /flavors")) {
            return Map.of(
                    "presses",
                    List.of(
                            Map.of(
                                    "sku",
                                    "p",
                                    "cpus",
                                    4.0,
                                    "mem_gb",
                                    8.0,
                                    "rate",
                                    1.0,
                                    "low_price",
                                    0.5,
                                    "ready_s",
                                    10.0,
                                    "yards",
                                    List.of("z"))));
        }
        return Map.of(
                "boxes",
                request.equals("POST /rentals") ? List.of("host-1") : List.of(),
                "more",
                false);
    }

    private static int standIn(Function<String, Map<String, Object>> answers) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext(
                "/",
                exchange -> {
                    exchange.getRequestBody().readAllBytes();
                    byte[] body =
                            Tree.toCbor(
                                    answers.apply(
                                            exchange.getRequestMethod()
                                                    + " "
                                                    + exchange.getRequestURI().getPath()));
                    exchange.sendResponseHeaders(200, body.length);
                    exchange.getResponseBody().write(body);
                    exchange.close();
                });
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
        return server.getAddress().getPort();
    }

    private static int freePort() throws IOException {
        try (java.net.ServerSocket s = new java.net.ServerSocket(0)) {
            return s.getLocalPort();
        }
    }
}
