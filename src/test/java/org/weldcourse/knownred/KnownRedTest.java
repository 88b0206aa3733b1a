package org.weldcourse.knownred;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.platform.engine.discovery.DiscoverySelectors.selectClass;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.platform.testkit.engine.EngineTestKit;
import org.junit.platform.testkit.engine.Events;

/** Verifies the list of known failures and how the extension treats listed and unlisted tests. */
class KnownRedTest {
    private static final String SAMPLE = Sample.class.getName();

    @TempDir
    private Path directory;

    /** Executed only by the tests below: the build does not run nested classes as tests. */
    static class Sample {
        @Test
        void fails() {
            throw new AssertionError("a fault");
        }

        @Test
        void passes() {}
    }

    private Events runSample(String... lines) throws IOException {
        Path file = directory.resolve("list.txt");
        Files.write(file, List.of(lines));
        return EngineTestKit.engine("junit-jupiter")
                .configurationParameter("junit.jupiter.extensions.autodetection.enabled", "true")
                .configurationParameter(KnownRedExtension.FILE_PARAMETER, file.toString())
                .selectors(selectClass(Sample.class))
                .execute()
                .testEvents();
    }

    @Test
    void rootListNamesExistingTests() throws IOException {
        KnownRedList list = KnownRedList.read(Path.of("KNOWN-RED.txt"));
        list.checkThatTestsExist();
        list.entries().forEach(entry -> System.out.println("KNOWN RED listed: " + entry));
    }

    @Test
    void unlistedFailureFails() throws IOException {
        Events events = runSample();
        assertEquals(1, events.failed().count());
        assertEquals(1, events.succeeded().count());
    }

    @Test
    void listedFailureRunsAndIsAborted() throws IOException {
        Events events = runSample(SAMPLE + "#fails; a fault; issue 1");
        assertEquals(2, events.started().count());
        assertEquals(0, events.failed().count());
        assertEquals(1, events.aborted().count());
    }

    @Test
    void listedTestThatPassesFails() throws IOException {
        Events events = runSample(SAMPLE + "#fails; a fault; issue 1", SAMPLE + "#passes; a fault; issue 1");
        assertEquals(1, events.failed().count());
        assertEquals(0, events.succeeded().count());
    }

    @Test
    void detectsListedTestsThatDoNotExist() {
        for (String test :
                List.of(SAMPLE + "#missing", "org.weldcourse.Missing#fails", SAMPLE, SAMPLE + "#runSample")) {
            KnownRedList list = KnownRedList.parse(List.of(test + "; a fault; issue 1"));
            assertTrue(assertThrows(KnownRedList.Invalid.class, list::checkThatTestsExist)
                    .getMessage()
                    .contains(test));
        }
        KnownRedList.parse(List.of(SAMPLE + "#fails; a fault; issue 1")).checkThatTestsExist();
    }

    @Test
    void refusesTooManyOrIncompleteEntries() {
        String line = SAMPLE + "#fails; a fault; issue 1";
        assertEquals(
                3,
                KnownRedList.parse(List.of("# comment", "", line, line, line))
                        .entries()
                        .size());
        assertThrows(KnownRedList.Invalid.class, () -> KnownRedList.parse(List.of(line, line, line, line)));
        assertThrows(KnownRedList.Invalid.class, () -> KnownRedList.parse(List.of(SAMPLE + "#fails")));
        assertThrows(KnownRedList.Invalid.class, () -> KnownRedList.parse(List.of(SAMPLE + "#fails; ; issue 1")));
    }
}
