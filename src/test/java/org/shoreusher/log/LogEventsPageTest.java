package org.shoreusher.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Example;

/** {@code docs/operations.md} explains every event: its fields, its meaning and what to do. */
class LogEventsPageTest {
    private static final Path PAGE = Path.of("docs/operations.md");
    private static final Pattern ROW =
            Pattern.compile("\\| `([a-z_]+)`( \\(debug\\))? \\| [^|]+ \\| [^|]{10,} \\| [^|]+ \\|");

    @Example
    void listsEveryEventOnceWithItsLevel() throws IOException {
        List<String> expected =
                Arrays.stream(LogEventType.values())
                        .map(type -> type.eventName() + (type.isDebugOnly() ? " (debug)" : ""))
                        .sorted()
                        .toList();
        List<String> listed =
                Files.readAllLines(PAGE).stream()
                        .map(ROW::matcher)
                        .filter(Matcher::matches)
                        .map(row -> row.group(1) + (row.group(2) == null ? "" : row.group(2)))
                        .sorted()
                        .toList();
        assertEquals(String.join("\n", expected), String.join("\n", listed));
    }
}
