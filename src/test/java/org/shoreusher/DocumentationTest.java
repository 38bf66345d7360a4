package org.shoreusher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** What the pages name exists. */
class DocumentationTest {
    private static final Path SOURCES = Path.of("src");

    /** A type in code font, with or without a package and a member. */
    private static final Pattern TYPE_IN_CODE_FONT =
            Pattern.compile("`(?:[a-z]+\\.)*([A-Z][a-z]+(?:[A-Z][a-z]*)*)(?:\\.\\w+)?`");

    /** Words in code font that are not types. */
    private static final Set<String> NO_TYPES = Set.of("Retry");

    @Example
    void everyTypeOnTheArchitecturePageExists() throws IOException {
        List<String> named = typesNamedIn(Path.of("docs/architecture.md"));
        assertTrue(named.size() > 50, () -> "the page names types: " + named);
        assertEquals(List.of(), missing(named));
    }

    @Example
    void everyTypeOnTheDesignPagesExists() throws IOException {
        List<String> named = new ArrayList<>();
        named.addAll(typesNamedIn(Path.of("docs/design.md")));
        named.addAll(typesNamedIn(Path.of("docs/compound-failures.md")));
        named.addAll(typesNamedIn(Path.of("docs/glossary.md")));
        assertTrue(named.size() > 100, () -> "the pages name types: " + named);
        assertEquals(List.of(), missing(named));
    }

    private static List<String> missing(List<String> named) throws IOException {
        Set<String> existing = existingTypes();
        return named.stream()
                .filter(name -> !existing.contains(name) && !NO_TYPES.contains(name))
                .distinct()
                .toList();
    }

    private static List<String> typesNamedIn(Path page) throws IOException {
        Matcher matcher = TYPE_IN_CODE_FONT.matcher(Files.readString(page));
        List<String> names = new ArrayList<>();
        while (matcher.find()) {
            names.add(matcher.group(1));
        }
        return names;
    }

    private static Set<String> existingTypes() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(".java"))
                    .map(name -> name.substring(0, name.length() - ".java".length()))
                    .collect(Collectors.toSet());
        }
    }
}
