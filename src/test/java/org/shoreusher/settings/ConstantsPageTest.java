package org.shoreusher.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** {@code docs/constants.md} lists every constant with its unit, value and reason. */
class ConstantsPageTest {
    private static final Path PAGE = Path.of("docs/constants.md");
    private static final Path SOURCES = Path.of("src/main/java");
    private static final int MIN_CLASSES = 15;

    /** A heading with the name of a class, or a row: name, unit, value, reason. */
    private static final Pattern HEADING = Pattern.compile("## `(\\S+)`");

    private static final Pattern ROW =
            Pattern.compile("\\| `([A-Z0-9_]+)` \\| ([^|]+) \\| ([^|]+) \\| ([^|]{10,}) \\|");

    @Example
    void listsEveryConstantWithItsValue() throws Exception {
        Map<String, String> expected = declaredConstants();
        assertTrue(expected.size() > 100, "found only " + expected.size() + " constants");
        assertEquals(lines(expected), lines(listedConstants()));
    }

    private static String lines(Map<String, String> values) {
        StringBuilder lines = new StringBuilder();
        values.forEach((name, value) -> lines.append(name + " = " + value + "\n"));
        return lines.toString();
    }

    private static Map<String, String> declaredConstants() throws Exception {
        Map<String, String> constants = new TreeMap<>();
        int classes = 0;
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(ConstantsPageTest::isConstantsClass).toList()) {
                classes++;
                for (Field field : Class.forName(className(file)).getDeclaredFields()) {
                    if (Modifier.isStatic(field.getModifiers()) && !field.isSynthetic()) {
                        field.setAccessible(true);
                        constants.put(className(file) + "." + field.getName(), text(field));
                    }
                }
            }
        }
        assertTrue(classes >= MIN_CLASSES, "found only " + classes + " classes of constants");
        return constants;
    }

    private static boolean isConstantsClass(Path file) {
        return file.getFileName().toString().endsWith("Constants.java");
    }

    private static String className(Path file) {
        String name = SOURCES.relativize(file).toString().replace('/', '.');
        return name.substring(0, name.length() - ".java".length());
    }

    private static String text(Field field) throws IllegalAccessException {
        Object value = field.get(null);
        return value instanceof Integer || value instanceof Long
                ? String.format(Locale.ROOT, "%,d", ((Number) value).longValue())
                : String.valueOf(value);
    }

    private static Map<String, String> listedConstants() throws IOException {
        Map<String, String> constants = new TreeMap<>();
        String className = null;
        for (String line : Files.readAllLines(PAGE)) {
            Matcher heading = HEADING.matcher(line);
            Matcher row = ROW.matcher(line);
            if (heading.matches()) {
                className = heading.group(1);
            } else if (row.matches()) {
                String before = constants.put(className + "." + row.group(1), row.group(3));
                assertEquals(null, before, "listed twice: " + row.group(1));
            }
        }
        return constants;
    }
}
