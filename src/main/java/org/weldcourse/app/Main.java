package org.weldcourse.app;

import java.nio.file.Path;
import org.weldcourse.quota.ledger.QuotaLedgerException;
import org.weldcourse.settings.InvalidSettingsException;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.SettingsFile;

/** The program's entry point: configures logging, runs the command line and reports errors. */
public final class Main {
    /** The program's version, logged at startup and in every status line so that operators can follow an upgrade. */
    static final String VERSION = "0.4.0";

    /** The exit code of a failed command. */
    static final int EXIT_FAILURE = 1;
    /** The exit code for an invalid command line and for invalid settings. */
    static final int EXIT_USAGE_ERROR = 2;

    private Main() {}

    /** Runs the command line. */
    public static void main(String[] args) {
        String level = System.getenv("LOG_LEVEL");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level == null ? "info" : level);
        // Names the provider explicitly; otherwise SLF4J searches every library for one.
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider");
        System.setProperty("slf4j.internal.verbosity", "WARN");
        int exitCode = run(args);
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    /** Runs the command line and returns the exit code; a started controller continues to run after the return. */
    static int run(String[] args) {
        try {
            if (isPlatformInvocation(args)) {
                startController(Path.of(args[1]), null);
                return 0;
            }
            return Commands.run(args);
        } catch (InvalidSettingsException | UsageException invalid) {
            System.err.println("weldcourse: " + invalid.getMessage());
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
     * Whether the arguments are those with which the platform starts a controller: {@code --config FILE} alone. They
     * are handled without picocli, because loading its hundred classes takes a fifth of the startup time.
     */
    static boolean isPlatformInvocation(String[] args) {
        return args.length == 2 && args[0].equals("--config") && !args[1].startsWith("-");
    }

    /**
     * Starts a controller, which continues to run after the return.
     *
     * @param config the platform's settings file
     * @param operators the operators' settings file, or null for the defaults
     */
    static void startController(Path config, Path operators) throws Exception {
        new Node(SettingsFile.read(config), operatorSettings(operators)).start();
    }

    /** Reads the operators' settings file; a null file gives the defaults. */
    static OperatorSettings operatorSettings(Path operators) throws InvalidSettingsException {
        return operators == null ? OperatorSettings.DEFAULT : OperatorSettings.read(operators);
    }
}
