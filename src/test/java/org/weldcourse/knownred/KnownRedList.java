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
 * The list of tests that are known to fail. Each line has the form {@code package.Class#method; cause; issue N}; empty lines
 * and lines that begin with {@code #} are ignored.
 */
public record KnownRedList(List<Entry> entries) {
    /** A longer list is refused, so that known failures get fixed instead of piling up. */
    public static final int MAX_ENTRIES = 3;

    private static final int FIELDS = 3;

    /** A test that is known to fail, the cause of the failure, and the issue that tracks it. */
    public record Entry(String test, String cause, String issue) {}

    /** Thrown for an invalid list; the message states the reason. */
    public static final class Invalid extends RuntimeException {
        Invalid(String reason) {
            super("KNOWN-RED: " + reason);
        }
    }

    /** Reads the list; a missing file is an empty list. */
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
                entries.add(parseEntry(line));
            }
        }
        if (entries.size() > MAX_ENTRIES) {
            throw new Invalid(entries.size() + " tests are listed, but at most " + MAX_ENTRIES + " are allowed");
        }
        return new KnownRedList(List.copyOf(entries));
    }

    private static Entry parseEntry(String line) {
        String[] fields = line.split(";", -1);
        if (fields.length != FIELDS) {
            throw new Invalid("expected \"package.Class#method; cause; issue N\", found: " + line);
        }
        Entry entry = new Entry(fields[0].strip(), fields[1].strip(), fields[2].strip());
        if (entry.test.isEmpty() || entry.cause.isEmpty() || entry.issue.isEmpty()) {
            throw new Invalid("expected \"package.Class#method; cause; issue N\", found: " + line);
        }
        return entry;
    }

    /** Returns the entry of a test method, if it is listed. */
    public Optional<Entry> find(Method method) {
        String name = method.getDeclaringClass().getName() + "#" + method.getName();
        return entries.stream().filter(entry -> entry.test.equals(name)).findFirst();
    }

    /** Throws {@link Invalid} unless each entry names an existing method with a {@code Test} annotation. */
    void checkThatTestsExist() {
        for (Entry entry : entries) {
            if (!exists(entry.test)) {
                throw new Invalid("test does not exist or has no @Test annotation: " + entry.test);
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
