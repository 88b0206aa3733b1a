package org.weldcourse.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.weldcourse.settings.Settings;
import org.weldcourse.settings.SettingsFile;
import org.weldcourse.settings.Tuning;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line. */
@Command(name = "weldcourse", mixinStandardHelpOptions = true, version = "weldcourse 0.1.0",
        description = "Runs one controller of a weldcourse cluster.", sortOptions = false)
public final class Main implements Callable<Integer> {
    static final int BAD_SETTINGS = 2;

    @Option(names = "--operators", paramLabel = "FILE", scope = CommandLine.ScopeType.INHERIT,
            description = "Operators' own settings (XML); without it the defaults hold.")
    private Path operators;

    @Option(names = "--config", paramLabel = "FILE", scope = CommandLine.ScopeType.INHERIT,
            description = "The platform's settings file (TOML).")
    private Path config;

    public static void main(String[] args) {
        String level = System.getenv("LOG_LEVEL");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level == null ? "info" : level);
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
        System.setProperty("io.netty.noUnsafe", "false");
        int code = new CommandLine(new Main()).execute(args);
        if (code != 0) {
            System.exit(code);
        }
    }

    @Override
    public Integer call() throws Exception {
        Loaded loaded = load();
        if (loaded == null) {
            return BAD_SETTINGS;
        }
        new Node(loaded.settings, loaded.tuning).start();
        return 0;
    }

    @Command(name = "check", description = "Checks the settings and ends without starting anything.",
            mixinStandardHelpOptions = true)
    int check() {
        if (load() == null) {
            return BAD_SETTINGS;
        }
        System.out.println("settings are valid");
        return 0;
    }

    @Command(name = "warm-up", hidden = true,
            description = "Loads what a controller needs, so that the build can make its class archive.")
    int warmUp() throws Exception {
        WarmUp.run();
        return 0;
    }

    private record Loaded(Settings settings, Tuning tuning) {
    }

    private Loaded load() {
        try {
            if (config == null) {
                throw new SettingsFile.Invalid("--config FILE is needed");
            }
            return new Loaded(SettingsFile.read(config),
                    operators == null ? Tuning.DEFAULT : Tuning.read(operators));
        } catch (SettingsFile.Invalid invalid) {
            System.err.println("weldcourse: " + invalid.getMessage());
            return null;
        }
    }
}
