package org.shoreusher.cli;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * Run by the build only: loads all classes of the program, starts a controller on loopback and runs
 * {@link ServiceSmokeCheck} against it, so that the JVM archives the classes that start-up and the
 * first requests need. Exits with 1 if a step of the scenario fails.
 */
final class ClassArchiveRun {
    private ClassArchiveRun() {}

    /** Runs the scenario and exits. */
    public static void main(String[] args) throws Exception {
        loadOwnClasses();
        int code = 0;
        try (ServiceSmokeCheck scenario = new ServiceSmokeCheck()) {
            Path file = Files.createTempFile("class-archive-run", ".json");
            Files.writeString(file, scenario.settingsJson(), StandardCharsets.UTF_8);
            String[] flags = {"--features", "deploy/features.toml", "--config", file.toString()};
            Thread program = new Thread(() -> Main.main(flags));
            program.setDaemon(true);
            program.start();
            scenario.run();
            Files.delete(file);
        } catch (IllegalStateException e) {
            System.err.println("smoke check failed: " + e.getMessage());
            code = 1;
        }
        System.exit(code);
    }

    private static void loadOwnClasses() throws IOException, ClassNotFoundException {
        String jar = System.getProperty("java.class.path").split(File.pathSeparator, -1)[0];
        try (JarFile file = new JarFile(jar)) {
            for (JarEntry entry : (Iterable<JarEntry>) file.stream()::iterator) {
                if (entry.getName().endsWith(".class")) {
                    Class.forName(className(entry), false, ClassArchiveRun.class.getClassLoader());
                }
            }
        }
    }

    private static String className(JarEntry entry) {
        String name = entry.getName();
        return name.substring(0, name.length() - ".class".length()).replace('/', '.');
    }
}
