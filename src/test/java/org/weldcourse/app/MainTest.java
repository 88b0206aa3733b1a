package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import picocli.CommandLine.ParseResult;

/** The platform's own call leaves picocli out; it has to mean what picocli would make of it, and nothing else may. */
class MainTest {
    @Test
    void platformInvocationIsParsedTheSameByPicocli() {
        String[] call = {"--config", "/etc/settings.toml"};
        assertTrue(Main.isPlatformInvocation(call));
        ParseResult parsed = CommandLineModel.commandLine().parseArgs(call);
        assertEquals(Path.of(call[1]), parsed.matchedOptionValue("--config", null));
        assertFalse(parsed.hasSubcommand());
        assertFalse(parsed.isUsageHelpRequested());
    }

    @Test
    void otherInvocationsAreParsedByPicocli() {
        for (String[] call : new String[][] {
            {},
            {"--config"},
            {"--config", "--help"},
            {"--config=a"},
            {"check", "a"},
            {"--config", "a", "--operators", "b"},
            {"--help", "a"}
        }) {
            assertFalse(Main.isPlatformInvocation(call));
        }
    }

    @Test
    void invalidCommandLineAndInvalidSettingsExitWithUsageError() {
        for (String[] call : new String[][] {
            {"--what"},
            {},
            {"check"},
            {"limits", "--config", "a"},
            {"limits", "set", "team", "--over", "perhaps", "--config", "a"},
            {"--config", "no such file"},
            {"check", "--config", "no such file"}
        }) {
            assertEquals(Main.EXIT_USAGE_ERROR, Main.run(call), String.join(" ", call));
        }
    }

    @Test
    void invalidCommandLineIsNamedInTheError() {
        for (String[] call : new String[][] {
            {"--what", "Unknown option: '--what' (see --help)"},
            {"check", "--config FILE is needed (see --help)"},
        }) {
            UsageException wrong = assertThrows(UsageException.class, () -> Commands.run(new String[] {call[0]}));
            assertEquals(call[1], wrong.getMessage());
        }
    }

    @Test
    void helpAndVersionExitWithZero() {
        assertEquals(0, Main.run(new String[] {"--help"}));
        assertEquals(0, Main.run(new String[] {"check", "--help"}));
        assertEquals(0, Main.run(new String[] {"--version"}));
    }
}
