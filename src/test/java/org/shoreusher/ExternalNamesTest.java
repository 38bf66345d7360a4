package org.shoreusher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/**
 * The names that leave the process are formats and never change: fields and values of messages,
 * stored keys and fields, settings, flags, and log events. The list names them by package; each has
 * to occur there as a string literal or, in upper case, as an enum constant.
 */
class ExternalNamesTest {
    private static final Path LIST = Path.of("src/test/resources/external-names.txt");
    private static final Path SOURCES = Path.of("src/main/java/org/shoreusher");
    private static final int MIN_NAMES = 375;

    private static final Pattern COMMENT =
            Pattern.compile("/\\*.*?\\*/|^\\s*//[^\\n]*", Pattern.DOTALL | Pattern.MULTILINE);

    private static final Pattern STRING_LITERAL = Pattern.compile("\"((?:[^\"\\\\\\n]|\\\\.)*)\"");

    /** A constant on a line of its own, with or without arguments. */
    private static final Pattern ENUM_CONSTANT =
            Pattern.compile("^\\s+([A-Z][A-Z_]*)(?:\\([^)\\n]*\\))?[,;]?$", Pattern.MULTILINE);

    @Example
    void everyNameThatLeavesTheProcessIsInItsPackage() throws IOException {
        List<String> missing = new ArrayList<>();
        int names = 0;
        for (Map.Entry<String, List<String>> listed : listedNames().entrySet()) {
            Set<String> present = namesInPackage(listed.getKey());
            names += listed.getValue().size();
            for (String name : listed.getValue()) {
                if (!present.contains(name)) {
                    missing.add(listed.getKey() + ": " + name);
                }
            }
        }
        assertTrue(names >= MIN_NAMES, "the list has only " + names + " names");
        assertEquals(List.of(), missing);
    }

    private static Map<String, List<String>> listedNames() throws IOException {
        Map<String, List<String>> namesByPackage = new LinkedHashMap<>();
        List<String> names = new ArrayList<>();
        for (String line : Files.readAllLines(LIST)) {
            if (line.startsWith("# ")) {
                names = new ArrayList<>();
                namesByPackage.put(line.substring(2), names);
            } else if (!line.isEmpty()) {
                names.add(line);
            }
        }
        return namesByPackage;
    }

    private static Set<String> namesInPackage(String packageName) throws IOException {
        Set<String> names = new HashSet<>();
        try (Stream<Path> files = Files.list(SOURCES.resolve(packageName.replace('.', '/')))) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
                String code = COMMENT.matcher(Files.readString(file)).replaceAll("");
                addMatches(STRING_LITERAL, code, names);
                addMatches(ENUM_CONSTANT, code, names);
            }
        }
        return names;
    }

    private static void addMatches(Pattern pattern, String code, Set<String> names) {
        Matcher matcher = pattern.matcher(code);
        while (matcher.find()) {
            names.add(matcher.group(1));
        }
    }
}
