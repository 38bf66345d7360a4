package org.shoreusher.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A features file that enables one feature; closing it deletes the file. */
final class TemporaryFeaturesFile implements AutoCloseable {
    private final Path path;

    private TemporaryFeaturesFile(Path path) {
        this.path = path;
    }

    /** Writes a file that enables the feature of a section with its default settings. */
    static TemporaryFeaturesFile enabling(String section) throws IOException {
        Path path = Files.createTempFile("features", ".toml");
        Files.writeString(path, "[" + section + "]\nenabled = true\n");
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
