package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import picocli.CommandLine.ParseResult;

/** The platform's own call leaves picocli out; it has to mean what picocli would make of it, and nothing else may. */
class MainTest {
    @Test
    void thePlatformsCallMeansWhatPicocliMakesOfIt() {
        String[] call = {"--config", "/etc/settings.toml"};
        assertTrue(Main.isPlatformsCall(call));
        ParseResult parsed = Main.commandLine().parseArgs(call);
        assertEquals(Path.of(call[1]), parsed.matchedOptionValue("--config", null));
        assertFalse(parsed.hasSubcommand());
        assertFalse(parsed.isUsageHelpRequested());
    }

    @Test
    void everythingElseIsReadByPicocli() {
        for (String[] call : new String[][] {
            {},
            {"--config"},
            {"--config", "--help"},
            {"--config=a"},
            {"check", "a"},
            {"--config", "a", "--operators", "b"},
            {"--help", "a"}
        }) {
            assertFalse(Main.isPlatformsCall(call));
        }
    }
}
