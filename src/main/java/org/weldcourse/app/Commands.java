package org.weldcourse.app;

import java.nio.file.Path;
import java.util.Optional;
import org.weldcourse.quota.ledger.OverQuotaPolicy;
import org.weldcourse.quota.ledger.QuotaChange;
import org.weldcourse.quota.ledger.QuotaCommand;
import org.weldcourse.settings.SettingsFile;
import picocli.CommandLine;
import picocli.CommandLine.ParseResult;

/** Parses the command line and runs the selected command. */
final class Commands {
    private Commands() {}

    /** Runs the command and returns the exit code; a started controller continues to run after the return. */
    static int run(String[] args) throws Exception {
        ParseResult root;
        try {
            root = CommandLineModel.commandLine().parseArgs(args);
        } catch (CommandLine.ParameterException invalid) {
            throw new UsageException(invalid.getMessage() + " (see --help)");
        }
        ParseResult selected = root;
        while (selected.hasSubcommand()) {
            selected = selected.subcommand();
        }
        CommandLine commandLine = selected.commandSpec().commandLine();
        if (commandLine.isUsageHelpRequested()) {
            commandLine.usage(System.out);
        } else if (commandLine.isVersionHelpRequested()) {
            commandLine.printVersionHelp(System.out);
        } else {
            run(selected, root);
        }
        return 0;
    }

    private static void run(ParseResult selected, ParseResult root) throws Exception {
        String name = selected.commandSpec().name();
        if (name.equals("warm-up")) {
            WarmUp.run();
            return;
        }
        Path config = option(selected, root, "--config");
        if (config == null) {
            throw new UsageException("--config FILE is needed (see --help)");
        }
        Path operators = option(selected, root, "--operators");
        switch (name) {
            case "show" -> quotaCommand(config).show(System.out);
            case "set" -> quotaCommand(config).set(nameArgument(selected), quotaChange(selected), System.out);
            case "set-cohort" ->
                quotaCommand(config).setCohort(nameArgument(selected), quotaChange(selected), System.out);
            case "limits" -> throw new UsageException("limits: show, set or set-cohort is needed (see limits --help)");
            case "check" -> check(config, operators);
            default -> Main.startController(config, operators);
        }
    }

    private static QuotaCommand quotaCommand(Path config) throws Exception {
        return new QuotaCommand(SettingsFile.read(config));
    }

    private static void check(Path config, Path operators) throws Exception {
        SettingsFile.read(config);
        Main.operatorSettings(operators);
        System.out.println("settings are valid");
    }

    /** Reads an option that may be given before or after the subcommand. */
    private static Path option(ParseResult selected, ParseResult root, String name) {
        return selected.matchedOptionValue(name, root.matchedOptionValue(name, (Path) null));
    }

    private static String nameArgument(ParseResult command) {
        return command.matchedPositionalValue(0, "");
    }

    private static QuotaChange quotaChange(ParseResult options) throws UsageException {
        String over = options.matchedOptionValue("--over", (String) null);
        Optional<OverQuotaPolicy> policy = OverQuotaPolicy.fromExternalName(over);
        if (over != null && policy.isEmpty()) {
            throw new UsageException("--over must be drain or displace, not " + over);
        }
        return new QuotaChange(
                options.matchedOptionValue("--cpus", (Double) null),
                options.matchedOptionValue("--cpus-max", (Double) null),
                options.matchedOptionValue("--gpus", (Double) null),
                options.matchedOptionValue("--gpus-max", (Double) null),
                policy.orElse(null),
                options.matchedOptionValue("--cohort", (String) null));
    }
}
