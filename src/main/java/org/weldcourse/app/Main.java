package org.weldcourse.app;

import java.nio.file.Path;
import org.weldcourse.quota.ledger.QuotaLedgerException;
import org.weldcourse.settings.InvalidSettingsException;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.SettingsFile;

/** The program: sets up logging, runs what the command line asks for, and says why when that fails. */
public final class Main {
    /** What runs here: said at the start and in every status line, so that an upgrade can be followed. */
    static final String VERSION = "0.3.0";

    /** The exit code of a command that failed. */
    static final int EXIT_FAILURE = 1;
    /** The exit code for a wrong command line and for wrong settings. */
    static final int EXIT_USAGE_ERROR = 2;

    private Main() {}

    /** Runs the command line. */
    public static void main(String[] args) {
        String level = System.getenv("LOG_LEVEL");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level == null ? "info" : level);
        // Named here, or every library would be opened and searched for one.
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
        int code = run(args);
        if (code != 0) {
            System.exit(code);
        }
    }

    /** Runs the command line and tells the exit code; a controller that was started runs on. */
    static int run(String[] args) {
        try {
            if (isPlatformInvocation(args)) {
                startController(Path.of(args[1]), null);
                return 0;
            }
            return Commands.run(args);
        } catch (InvalidSettingsException | UsageException wrong) {
            System.err.println("weldcourse: " + wrong.getMessage());
            return EXIT_USAGE_ERROR;
        } catch (QuotaLedgerException failed) {
            System.err.println("weldcourse: " + failed.getMessage());
            return EXIT_FAILURE;
        } catch (Exception unexpected) {
            System.err.println("weldcourse: " + unexpected);
            return EXIT_FAILURE;
        }
    }

    /**
     * The one call that the platform makes. It says all that there is to read, so that picocli is left for what people
     * type: its hundred classes are a fifth of a start.
     */
    static boolean isPlatformInvocation(String[] args) {
        return args.length == 2 && args[0].equals("--config") && !args[1].startsWith("-");
    }

    /**
     * Starts a controller, which runs on after this.
     *
     * @param operators the operators' own settings, or null for the defaults
     */
    static void startController(Path config, Path operators) throws Exception {
        new Node(SettingsFile.read(config), operatorSettings(operators)).start();
    }

    /** Reads the operators' own settings; null stands for the defaults. */
    static OperatorSettings operatorSettings(Path operators) throws InvalidSettingsException {
        return operators == null ? OperatorSettings.DEFAULT : OperatorSettings.read(operators);
    }
}
