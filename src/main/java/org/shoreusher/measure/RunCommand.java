package org.shoreusher.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.shoreusher.wire.FieldMap;

/** The command line of the controllers, as the deploy file states it. */
final class RunCommand {
    private static final Path DEPLOY_FILE = Path.of("deploy/service.toml");
    private static final String FEATURES_FLAG = "--features";

    private RunCommand() {}

    /**
     * The words of the command line; the settings file has to be appended.
     *
     * @param features features file that replaces the one of the deploy file; null for none
     * @throws IOException if the deploy file is unreadable or has no command line
     */
    static List<String> readWords(Path features) throws IOException {
        String line;
        try {
            line = FieldMap.parseToml(Files.readAllBytes(DEPLOY_FILE)).text("run");
        } catch (FieldMap.InvalidFieldException e) {
            throw new IOException(DEPLOY_FILE + ": " + e.getMessage());
        }
        List<String> words = new ArrayList<>(List.of(line.split(" ")));
        int flagIndex = words.indexOf(FEATURES_FLAG);
        if (flagIndex >= 0) {
            words.remove(flagIndex + 1);
            words.remove(flagIndex);
        }
        if (features != null) {
            // The last word is the flag whose value, the settings file, is appended.
            words.add(words.size() - 1, FEATURES_FLAG);
            words.add(words.size() - 1, features.toString());
        }
        return words;
    }
}
