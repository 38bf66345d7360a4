package org.shoreusher.cli;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import org.shoreusher.net.HttpCaller;
import org.shoreusher.settings.Settings;

/**
 * Run by the build, never in service: starts a controller on loopback that reaches nothing, asks it a few
 * things, and ends, so that the Java machine can archive the classes that a start needs.
 */
final class Rehearsal {
    private static final String SETTINGS = """
            {"host_name":"rehearsal","zone":"z","front":"127.0.0.1:%d","back":"127.0.0.1:%d","members":[],
             "endpoints":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
             "deployment":{"count":1,"zones":["z"],"teams":[{"name":"t","cpus":1.0,"cpus_max":1.0,"gpus":0.0,"gpus_max":0.0}],"objectives":[],
              "workers":{"report_s":1.0,"lease_s":10.0,"cancel_s":30.0},"state":{"rps":100.0,"write_rps":50.0,"value_kb":8.0,"txn_ops":12},
              "cloud":{"rps":5.0,"list_lag_s":5.0},"limits":{"sockets":1000},"clock_off_ms":25.0}}""";

    private Rehearsal() {
    }

    public static void main(String[] args) throws Exception {
        loadOwnClasses();
        int front = freePort();
        int back = freePort();
        int nowhere = freePort();
        Path file = Files.createTempFile("rehearsal", ".json");
        Files.writeString(file, SETTINGS.formatted(front, back, nowhere, nowhere), StandardCharsets.UTF_8);
        Thread program = new Thread(() -> Main.main(new String[] {"--config", file.toString()}));
        program.setDaemon(true);
        program.start();
        Thread.sleep(1_500);
        io.netty.channel.nio.NioEventLoopGroup group = new io.netty.channel.nio.NioEventLoopGroup(1);
        HttpCaller caller = new HttpCaller(group.next(), new Settings.Address("127.0.0.1", front));
        ask(group, caller, "/ready", null);
        ask(group, caller, "/v2/runs", Map.of("name_id", "wk-000001", "cpus", 1.0));
        ask(group, caller, "/v2/runs/wk-000001", null);
        ask(group, caller, "/hello", Map.of("box", "b", "press", "p", "yard", "z", "shift", 1L, "tally", 1L));
        Files.delete(file);
        System.exit(0);
    }

    private static void ask(io.netty.channel.nio.NioEventLoopGroup group, HttpCaller caller, String path, Map<String, Object> body) throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(1);
        group.next().execute(() -> caller.call(path, body, 1_000, (status, answer) -> {
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
                    Class.forName(entry.getName().replace('/', '.').substring(0, entry.getName().length() - ".class".length()), false,
                            Rehearsal.class.getClassLoader());
                }
            }
        }
    }

    private static int freePort() throws IOException {
        try (java.net.ServerSocket s = new java.net.ServerSocket(0)) {
            return s.getLocalPort();
        }
    }
}
