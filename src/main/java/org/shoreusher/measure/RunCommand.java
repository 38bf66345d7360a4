package org.shoreusher.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.shoreusher.wire.FieldMap;

/** The command line of the controllers, from the deploy file. */
final class RunCommand {
    private static final Path DEPLOY_FILE = Path.of("deploy/service.toml");
    private static final String FEATURES_FLAG = "--features";

    private RunCommand() {}

    /**
     * The words of the command line, without the settings file at the end.
     *
     * @param features features file instead of the deploy file's; null for none
     */
    static List<String> readWords(Path features) throws IOException {
        String line;
        try {
            line = FieldMap.parseToml(Files.readAllBytes(DEPLOY_FILE)).text("run");
        } catch (FieldMap.InvalidFieldException e) {
            throw new IOException(DEPLOY_FILE + ": " + e.getMessage());
        }
        List<String> words = new ArrayList<>(List.of(line.split(" ")));
        int flag = words.indexOf(FEATURES_FLAG);
        if (flag >= 0) {
            words.remove(flag + 1);
            words.remove(flag);
        }
        if (features != null) {
            words.add(words.size() - 1, FEATURES_FLAG);
            words.add(words.size() - 1, features.toString());
        }
        return words;
    }
}
