package org.weldcourse.knownred;

import java.io.IOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * The tests that are known to fail, one line each: {@code package.Class#method; cause; issue N}. Empty lines and lines that
 * begin with {@code #} are comments.
 */
public record KnownRedList(List<Entry> entries) {
    /** More failing tests than this are not to be lived with. */
    public static final int MOST_ENTRIES = 3;

    private static final int FIELDS = 3;

    /** One test that is known to fail, why it does, and the issue that says so. */
    public record Entry(String test, String cause, String issue) {}

    /** A list that can't be used, with the reason. */
    public static final class Invalid extends RuntimeException {
        Invalid(String reason) {
            super("KNOWN-RED: " + reason);
        }
    }

    /** Reads the list; a file that does not exist lists nothing. */
    public static KnownRedList read(Path file) throws IOException {
        try {
            return parse(Files.readAllLines(file));
        } catch (NoSuchFileException absent) {
            return new KnownRedList(List.of());
        }
    }

    static KnownRedList parse(List<String> lines) {
        List<Entry> entries = new ArrayList<>();
        for (String line : lines) {
            if (!line.isBlank() && !line.startsWith("#")) {
                entries.add(entry(line));
            }
        }
        if (entries.size() > MOST_ENTRIES) {
            throw new Invalid(entries.size() + " tests are listed, " + MOST_ENTRIES + " may be");
        }
        return new KnownRedList(List.copyOf(entries));
    }

    private static Entry entry(String line) {
        String[] fields = line.split(";", -1);
        if (fields.length != FIELDS) {
            throw new Invalid("not a test, a cause and an issue: " + line);
        }
        Entry entry = new Entry(fields[0].strip(), fields[1].strip(), fields[2].strip());
        if (entry.test.isEmpty() || entry.cause.isEmpty() || entry.issue.isEmpty()) {
            throw new Invalid("not a test, a cause and an issue: " + line);
        }
        return entry;
    }

    /** The entry of a test method, if it is listed. */
    public Optional<Entry> find(Method method) {
        String name = method.getDeclaringClass().getName() + "#" + method.getName();
        return entries.stream().filter(entry -> entry.test.equals(name)).findFirst();
    }

    /** Fails unless each entry names a plain test method that exists. */
    void checkThatTestsExist() {
        for (Entry entry : entries) {
            if (!exists(entry.test)) {
                throw new Invalid("there is no such test: " + entry.test);
            }
        }
    }

    private static boolean exists(String test) {
        int hash = test.indexOf('#');
        if (hash < 0) {
            return false;
        }
        try {
            Class<?> declaring = Class.forName(test.substring(0, hash));
            return declaring.getDeclaredMethod(test.substring(hash + 1)).isAnnotationPresent(Test.class);
        } catch (ReflectiveOperationException absent) {
            return false;
        }
    }
}
