package org.shoreusher.cli;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * Used by the build only: loads all classes of the program, starts a controller on loopback and
 * runs {@link ControllerSmokeCheck} against it, so that the JVM archives the classes that start-up
 * and the first requests need. Exits with 0, or with 1 if a step of the check fails.
 */
final class ClassArchiveRun {
    private ClassArchiveRun() {}

    /** Loads the classes, runs the check and exits; {@code args} are ignored. */
    public static void main(String[] args) throws Exception {
        loadOwnClasses();
        int exitCode = 0;
        try (ControllerSmokeCheck check = new ControllerSmokeCheck()) {
            Path settingsFile = Files.createTempFile("class-archive-run", ".json");
            Files.writeString(settingsFile, check.settingsJson(), StandardCharsets.UTF_8);
            String[] arguments = {
                "--features", "deploy/features.toml", "--config", settingsFile.toString()
            };
            Thread controller = new Thread(() -> Main.main(arguments));
            controller.setDaemon(true);
            controller.start();
            check.run();
            Files.delete(settingsFile);
        } catch (IllegalStateException e) {
            System.err.println("smoke check failed: " + e.getMessage());
            exitCode = 1;
        }
        System.exit(exitCode);
    }

    private static void loadOwnClasses() throws IOException, ClassNotFoundException {
        String jar = System.getProperty("java.class.path").split(File.pathSeparator, -1)[0];
        try (JarFile jarFile = new JarFile(jar)) {
            for (JarEntry entry : (Iterable<JarEntry>) jarFile.stream()::iterator) {
                if (entry.getName().endsWith(".class")) {
                    ClassLoader loader = ClassArchiveRun.class.getClassLoader();
                    Class.forName(className(entry), /* initialize= */ false, loader);
                }
            }
        }
    }

    private static String className(JarEntry entry) {
        String name = entry.getName();
        return name.substring(0, name.length() - ".class".length()).replace('/', '.');
    }
}
