package org.shoreusher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.source.tree.ClassTree;
import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.LiteralTree;
import com.sun.source.tree.MethodInvocationTree;
import com.sun.source.tree.MethodTree;
import com.sun.source.tree.Tree;
import com.sun.source.tree.VariableTree;
import com.sun.source.util.JavacTask;
import com.sun.source.util.TreeScanner;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;
import net.jqwik.api.Example;
import org.shoreusher.balance.Migration;
import org.shoreusher.log.LogEventType;
import org.shoreusher.standby.PromotionOutcome;

/**
 * Checks the names in code font on the pages: identifiers exist in the sources, and names of
 * messages, stored records, settings and logs exist as literals or on the list of external names.
 */
class DocumentationTest {
    private static final Path MAIN_SOURCES = Path.of("src/main");
    private static final Path TEST_SOURCES = Path.of("src/test");
    private static final Path EXTERNAL_NAMES = Path.of("src/test/resources/external-names.txt");
    private static final int MIN_NAMES = 1_000;

    /** Pages that also name former code. */
    private static final Pattern HISTORY =
            Pattern.compile("docs/(?:results.*|ROADMAP|incidents/.*)\\.md");

    private static final List<String> PAGES = pages();

    /** Text in code font that names nothing in this repository, with the reason. */
    private static final Map<String, String> EXCEPTIONS =
            Map.of(
                    "*Constants", "all types whose names end like this",
                    "Retry-After", "an HTTP header, which the HTTP library names",
                    "cpu", "a measure in the output of the bench, a program of its own",
                    "fleetbench real", "a command of the bench",
                    "host/12 hex digits", "the shape of a value, in words",
                    "key=value", "the shape of a field in a log line",
                    "open/N/ID", "a stored key of earlier versions, as the page states",
                    "print", "an argument of DecisionDigests, a program of the tests",
                    "shoreusher: features file: ", "two literals, joined to a message",
                    "shoreusher: settings file: ", "two literals, joined to a message");

    private static final Pattern CODE_FONT = Pattern.compile("`([^`\\n]+)`");

    /** A type in code font, with or without a package and a member. */
    private static final Pattern TYPE_IN_CODE_FONT =
            Pattern.compile("`(?:[a-z]+\\.)*([A-Z][a-z]+(?:[A-Z][a-z]*)*)(?:\\.\\w+)?`");

    /** A type with or without a package and members: {@code core.Node}, {@code Job.isClosed()}. */
    private static final Pattern TYPE =
            Pattern.compile(
                    "(?:([a-z]\\w*(?:\\.[a-z]\\w*)*)\\.)?"
                            + "([A-Z][A-Z0-9]*[a-z]\\w*(?:\\.\\w+)*)(?:\\(\\))?");

    private static final Pattern CONSTANT = Pattern.compile("[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+|[A-Z]+");

    /** A member without its type: with an upper-case letter inside or parentheses. */
    private static final Pattern LONE_MEMBER =
            Pattern.compile("[a-z]+[A-Z]\\w*(?:\\(\\))?|[a-z]\\w*\\(\\)");

    private static final Pattern COMMAND = Pattern.compile("(?:mvn|java|git) .+");

    /** A type in a command, which is not part of an option. */
    private static final Pattern TYPE_IN_COMMAND = Pattern.compile("(?<=[ =.])([A-Z][a-z]\\w+)");

    private static final Pattern PATH_IN_REPOSITORY =
            Pattern.compile("(?:src|docs|deploy)/\\S+|\\w+\\.xml");

    private static final Pattern BUILD_OUTPUT = Pattern.compile("target/\\S+");

    /** A quantity of a formula, such as {@code c(t,m)}. */
    private static final Pattern QUANTITY = Pattern.compile("[A-Za-z](?:\\(\\w(?:,\\w)*\\))?");

    private static final Pattern WORD = Pattern.compile("[A-Za-z]\\w*");
    private static final Pattern PLACEHOLDER = Pattern.compile("[A-Z]+");

    private static final SourceNames SOURCES = SourceNames.read();
    private static final Set<String> EXTERNAL = externalNames();
    private static final Set<String> EXTERNAL_WORDS =
            Stream.concat(EXTERNAL.stream(), SOURCES.literalWords.stream())
                    .collect(Collectors.toSet());
    private static final String BUILD_FILE =
            read(Path.of("pom.xml")).replace("${project.build.directory}", "target");

    @Example
    void everyTypeOnTheArchitecturePageExists() {
        List<String> named = typesNamedIn("docs/architecture.md");
        assertTrue(named.size() > 50, () -> "too few types on the page: " + named);
        assertEquals(List.of(), missingTypes(named));
    }

    @Example
    void everyTypeOnTheDesignPagesExists() {
        List<String> named = new ArrayList<>();
        named.addAll(typesNamedIn("docs/design.md"));
        named.addAll(typesNamedIn("docs/compound-failures.md"));
        named.addAll(typesNamedIn("docs/glossary.md"));
        assertTrue(named.size() > 100, () -> "too few types on the pages: " + named);
        assertEquals(List.of(), missingTypes(named));
    }

    @Example
    void everyNameInCodeFontExists() {
        int names = PAGES.stream().mapToInt(page -> namesInCodeFont(page).size()).sum();
        assertTrue(names > MIN_NAMES, "the pages have only " + names + " names in code font");
        Map<String, String> missing = missingNames();
        missing.keySet().removeAll(EXCEPTIONS.keySet());
        assertEquals(Map.of(), missing, "names that do not exist, with a page");
    }

    /** An exception that is no longer on a page, or that exists now, is removed from the list. */
    @Example
    void everyExceptionIsNeeded() {
        Set<String> unneeded = new TreeSet<>(EXCEPTIONS.keySet());
        unneeded.removeAll(missingNames().keySet());
        assertEquals(Set.of(), unneeded);
    }

    /** Tests the check: it accepts names of each kind, and rejects similar ones. */
    @Example
    void distinguishesExistingFromMissingNames() {
        String existing =
                "DocumentationTest core.job.CompletionRecords WorkerHeartbeat.isNewerThan"
                        + " CompoundFailuresTest.FaultKind.ZONE_ISOLATED MAX_TASKS_PER_JOB"
                        + " isNewerThan() cancelsAQuarterOfManySmallJobs shard_acquired ran_twice"
                        + " part/N/done/K";
        String missing =
                "CompoundFailureTest core.store.CompletionRecords HeartbeatHandler.isNewerThan"
                        + " CompoundFailuresTest.FaultKind.NO_FAULT MAX_TASKS_PER_YEAR"
                        + " isNewer() cancelsNothing newerThan removed shard_lost part/N/lost/K";
        assertEquals(
                List.of(), Stream.of(existing.split(" ")).filter(name -> !exists(name)).toList());
        assertEquals(
                List.of(), Stream.of(missing.split(" ")).filter(name -> exists(name)).toList());
    }

    /** Returns the names in code font that do not exist, each with a page that has it. */
    private static Map<String, String> missingNames() {
        Map<String, String> pageByName = new TreeMap<>();
        for (String page : PAGES) {
            for (String name : namesInCodeFont(page)) {
                if (!exists(name)) {
                    pageByName.put(name, page);
                }
            }
        }
        return pageByName;
    }

    /** Returns the pages about the current code. */
    private static List<String> pages() {
        return Stream.concat(
                        Stream.of("CONTRIBUTING.md", "README.md"),
                        filesIn(Path.of("docs"), ".md").stream().map(Path::toString))
                .filter(page -> !HISTORY.matcher(page).matches())
                .toList();
    }

    private static List<Path> filesIn(Path directory, String suffix) {
        try (Stream<Path> files = Files.walk(directory)) {
            return files.filter(file -> file.toString().endsWith(suffix)).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<String> missingTypes(List<String> named) {
        return named.stream().filter(name -> !SOURCES.hasType("", name)).distinct().toList();
    }

    private static List<String> typesNamedIn(String page) {
        return matches(TYPE_IN_CODE_FONT, read(Path.of(page)));
    }

    private static List<String> namesInCodeFont(String page) {
        return matches(CODE_FONT, read(Path.of(page)));
    }

    /** Returns the first group of each match. */
    private static List<String> matches(Pattern pattern, String text) {
        return pattern.matcher(text).results().map(match -> match.group(1)).toList();
    }

    /** Whether a text in code font names something that exists. */
    private static boolean exists(String text) {
        Matcher type = TYPE.matcher(text);
        if (type.matches()) {
            return SOURCES.hasType(type.group(1) == null ? "" : type.group(1), type.group(2));
        }
        if (LONE_MEMBER.matcher(text).matches()) {
            return SOURCES.members.contains(text.replace("()", ""));
        }
        if (CONSTANT.matcher(text).matches()) {
            return SOURCES.members.contains(text) || EXTERNAL.contains(text);
        }
        if (COMMAND.matcher(text).matches()) {
            return missingTypes(matches(TYPE_IN_COMMAND, text)).isEmpty();
        }
        if (PATH_IN_REPOSITORY.matcher(text).matches()) {
            return Files.exists(Path.of(text));
        }
        if (BUILD_OUTPUT.matcher(text).matches()) {
            return BUILD_FILE.contains(text);
        }
        return EXTERNAL.contains(text)
                || QUANTITY.matcher(text).matches()
                || SOURCES.hasPackage(text)
                || isComposedOfExternalNames(text);
    }

    /**
     * Whether a text of several words, such as a key, a flag or a setting with its value, has only
     * words of external names and placeholders; with a slash, only words of literals with a slash.
     */
    private static boolean isComposedOfExternalNames(String text) {
        Set<String> words = wordsOf(text);
        Set<String> known = text.contains("/") ? SOURCES.pathWords : EXTERNAL_WORDS;
        return !words.isEmpty()
                && !words.contains(text)
                && words.stream()
                        .allMatch(
                                word ->
                                        PLACEHOLDER.matcher(word).matches()
                                                || known.contains(word));
    }

    private static Set<String> wordsOf(String text) {
        return WORD.matcher(text).results().map(MatchResult::group).collect(Collectors.toSet());
    }

    /**
     * The names that leave the process: the listed ones, log events and their values, all other
     * string literals of the main sources, and the words of the deployment's files.
     */
    private static Set<String> externalNames() {
        Set<String> names = new HashSet<>(SOURCES.literals);
        names.addAll(SOURCES.violations);
        Arrays.stream(LogEventType.values()).map(LogEventType::eventName).forEach(names::add);
        Stream.of(Migration.Reason.values(), PromotionOutcome.values())
                .flatMap(Arrays::stream)
                .forEach(value -> names.add(value.toString().toLowerCase(Locale.ROOT)));
        read(EXTERNAL_NAMES).lines().filter(line -> !line.startsWith("#")).forEach(names::add);
        for (Path file : filesIn(Path.of("deploy"), ".toml")) {
            names.addAll(wordsOf(read(file).replaceAll("(?m)^#.*", "")));
        }
        return names;
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A type with the names of its members, the types nested in it included. */
    private record Type(String packageName, Map<String, Type> nested, Set<String> members) {
        /** Whether the type has this member, which may be a path through nested types. */
        boolean has(List<String> path) {
            if (path.isEmpty()) {
                return true;
            }
            Type next = nested.get(path.get(0));
            return next != null
                    ? next.has(path.subList(1, path.size()))
                    : path.size() == 1 && members.contains(path.get(0));
        }
    }

    /** The names that the Java sources declare, and the string literals of the main sources. */
    private static final class SourceNames extends TreeScanner<Void, Type> {
        private static final JavaCompiler COMPILER = ToolProvider.getSystemJavaCompiler();

        final Map<String, List<Type>> types = new HashMap<>();
        final Set<String> members = new HashSet<>();
        final Set<String> packages = new HashSet<>();
        final Set<String> literals = new HashSet<>();

        /** The words of the literals without spaces; those with spaces are messages. */
        final Set<String> literalWords = new HashSet<>();

        /** The words of the literals with a slash, which are parts of keys and paths. */
        final Set<String> pathWords = new HashSet<>();

        /** The violations that the simulations' invariants report. */
        final Set<String> violations = new HashSet<>();

        private boolean isMainSource;
        private String packageName;

        static SourceNames read() {
            SourceNames names = new SourceNames();
            try (StandardJavaFileManager files =
                    COMPILER.getStandardFileManager(null, null, null)) {
                for (Path sources : List.of(MAIN_SOURCES, TEST_SOURCES)) {
                    names.isMainSource = sources.equals(MAIN_SOURCES);
                    var units = files.getJavaFileObjectsFromPaths(filesIn(sources, ".java"));
                    var task = COMPILER.getTask(null, files, null, null, null, units);
                    ((JavacTask) task).parse().forEach(names::addFile);
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return names;
        }

        private void addFile(CompilationUnitTree file) {
            packageName = file.getPackageName().toString();
            packages.add(packageName);
            scan(file, null);
        }

        /** Whether there is this type, in a package that ends with the given one. */
        boolean hasType(String inPackage, String typeAndMembers) {
            List<String> path = List.of(typeAndMembers.split("\\."));
            return types.getOrDefault(path.get(0), List.of()).stream()
                    .anyMatch(
                            type ->
                                    endsWithPackage(type.packageName, inPackage)
                                            && type.has(path.subList(1, path.size())));
        }

        boolean hasPackage(String name) {
            return packages.stream().anyMatch(existing -> endsWithPackage(existing, name));
        }

        private static boolean endsWithPackage(String full, String end) {
            return end.isEmpty() || ("." + full).endsWith("." + end);
        }

        @Override
        public Void visitClass(ClassTree tree, Type enclosing) {
            Type type = new Type(packageName, new HashMap<>(), new HashSet<>());
            String name = tree.getSimpleName().toString();
            types.computeIfAbsent(name, unused -> new ArrayList<>()).add(type);
            if (enclosing != null) {
                enclosing.nested.put(name, type);
            }
            for (Tree member : tree.getMembers()) {
                if (member instanceof MethodTree method) {
                    type.members.add(method.getName().toString());
                } else if (member instanceof VariableTree field) {
                    type.members.add(field.getName().toString());
                }
            }
            members.addAll(type.members);
            return super.visitClass(tree, type);
        }

        @Override
        public Void visitLiteral(LiteralTree tree, Type enclosing) {
            if (isMainSource && tree.getValue() instanceof String text) {
                literals.add(text);
                if (!text.contains(" ")) {
                    (text.contains("/") ? pathWords : literalWords).addAll(wordsOf(text));
                }
            }
            return null;
        }

        @Override
        public Void visitMethodInvocation(MethodInvocationTree tree, Type enclosing) {
            if (tree.getMethodSelect().toString().endsWith("recordViolation")
                    && tree.getArguments().get(0) instanceof LiteralTree invariant) {
                violations.add(String.valueOf(invariant.getValue()));
            }
            return super.visitMethodInvocation(tree, enclosing);
        }
    }
}
