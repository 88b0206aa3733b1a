package org.weldcourse.app;

import java.nio.file.Path;
import java.util.Optional;
import org.weldcourse.quota.ledger.OverQuotaPolicy;
import org.weldcourse.quota.ledger.QuotaChange;
import org.weldcourse.quota.ledger.QuotaCommand;
import org.weldcourse.settings.SettingsFile;
import picocli.CommandLine;
import picocli.CommandLine.ParseResult;

/** Runs the command that a command line names. */
final class Commands {
    private Commands() {}

    /** Runs the command and tells the exit code; a controller that was started runs on. */
    static int run(String[] args) throws Exception {
        ParseResult first;
        try {
            first = CommandLineModel.commandLine().parseArgs(args);
        } catch (CommandLine.ParameterException wrong) {
            throw new UsageException(wrong.getMessage() + " (see --help)");
        }
        ParseResult last = first;
        while (last.hasSubcommand()) {
            last = last.subcommand();
        }
        CommandLine chosen = last.commandSpec().commandLine();
        if (chosen.isUsageHelpRequested()) {
            chosen.usage(System.out);
        } else if (chosen.isVersionHelpRequested()) {
            chosen.printVersionHelp(System.out);
        } else {
            run(last, first);
        }
        return 0;
    }

    private static void run(ParseResult last, ParseResult first) throws Exception {
        String name = last.commandSpec().name();
        if (name.equals("warm-up")) {
            WarmUp.run();
            return;
        }
        Path config = option(last, first, "--config");
        if (config == null) {
            throw new UsageException("--config FILE is needed (see --help)");
        }
        Path operators = option(last, first, "--operators");
        switch (name) {
            case "show" -> limits(config).show(System.out);
            case "set" -> limits(config).set(named(last), change(last), System.out);
            case "set-cohort" -> limits(config).setCohort(named(last), change(last), System.out);
            case "limits" -> throw new UsageException("limits: show, set or set-cohort is needed (see limits --help)");
            case "check" -> check(config, operators);
            default -> Main.startController(config, operators);
        }
    }

    private static QuotaCommand limits(Path config) throws Exception {
        return new QuotaCommand(SettingsFile.read(config));
    }

    private static void check(Path config, Path operators) throws Exception {
        SettingsFile.read(config);
        Main.operatorSettings(operators);
        System.out.println("settings are valid");
    }

    /** The options may stand before a subcommand or behind it. */
    private static Path option(ParseResult last, ParseResult first, String name) {
        return last.matchedOptionValue(name, first.matchedOptionValue(name, (Path) null));
    }

    private static String named(ParseResult call) {
        return call.matchedPositionalValue(0, "");
    }

    private static QuotaChange change(ParseResult set) throws UsageException {
        String over = set.matchedOptionValue("--over", (String) null);
        Optional<OverQuotaPolicy> policy = OverQuotaPolicy.fromExternalName(over);
        if (over != null && policy.isEmpty()) {
            throw new UsageException("over: must be drain or displace, not " + over);
        }
        return new QuotaChange(
                set.matchedOptionValue("--cpus", (Double) null),
                set.matchedOptionValue("--cpus-max", (Double) null),
                set.matchedOptionValue("--gpus", (Double) null),
                set.matchedOptionValue("--gpus-max", (Double) null),
                policy.orElse(null),
                set.matchedOptionValue("--cohort", (String) null));
    }
}
