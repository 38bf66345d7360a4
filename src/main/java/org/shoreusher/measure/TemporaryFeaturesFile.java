package org.shoreusher.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A features file that enables one feature, until it is closed. */
final class TemporaryFeaturesFile implements AutoCloseable {
    private final Path path;

    private TemporaryFeaturesFile(Path path) {
        this.path = path;
    }

    /** Writes a file that enables the feature with this section name, with its defaults. */
    static TemporaryFeaturesFile enabling(String feature) throws IOException {
        Path path = Files.createTempFile("features", ".toml");
        Files.writeString(path, "[" + feature + "]\nenabled = true\n");
        return new TemporaryFeaturesFile(path);
    }

    Path path() {
        return path;
    }

    @Override
    public void close() throws IOException {
        Files.delete(path);
    }
}
