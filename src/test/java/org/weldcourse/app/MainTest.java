package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import picocli.CommandLine.ParseResult;

/**
 * Main handles the platform's invocation, {@code --config FILE}, without picocli. Picocli must parse it to the same
 * result, and every other command line must go through picocli.
 */
class MainTest {
    @Test
    void platformInvocationIsParsedTheSameByPicocli() {
        String[] args = {"--config", "/etc/settings.toml"};
        assertTrue(Main.isPlatformInvocation(args));
        ParseResult parsed = CommandLineModel.commandLine().parseArgs(args);
        assertEquals(Path.of(args[1]), parsed.matchedOptionValue("--config", null));
        assertFalse(parsed.hasSubcommand());
        assertFalse(parsed.isUsageHelpRequested());
    }

    @Test
    void otherInvocationsAreParsedByPicocli() {
        for (String[] args : new String[][] {
            {},
            {"--config"},
            {"--config", "--help"},
            {"--config=a"},
            {"check", "a"},
            {"--config", "a", "--operators", "b"},
            {"--help", "a"}
        }) {
            assertFalse(Main.isPlatformInvocation(args));
        }
    }

    @Test
    void invalidCommandLineAndInvalidSettingsExitWithUsageError() {
        for (String[] args : new String[][] {
            {"--what"},
            {},
            {"check"},
            {"limits", "--config", "a"},
            {"limits", "set", "team", "--over", "perhaps", "--config", "a"},
            {"--config", "no such file"},
            {"check", "--config", "no such file"}
        }) {
            assertEquals(Main.EXIT_USAGE_ERROR, Main.run(args), String.join(" ", args));
        }
    }

    @Test
    void invalidCommandLineIsNamedInTheError() {
        for (String[] argumentAndMessage : new String[][] {
            {"--what", "Unknown option: '--what' (see --help)"},
            {"check", "--config FILE is needed (see --help)"},
        }) {
            UsageException error =
                    assertThrows(UsageException.class, () -> Commands.run(new String[] {argumentAndMessage[0]}));
            assertEquals(argumentAndMessage[1], error.getMessage());
        }
    }

    @Test
    void helpAndVersionExitWithZero() {
        assertEquals(0, Main.run(new String[] {"--help"}));
        assertEquals(0, Main.run(new String[] {"check", "--help"}));
        assertEquals(0, Main.run(new String[] {"--version"}));
    }
}
