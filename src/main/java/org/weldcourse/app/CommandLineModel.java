package org.weldcourse.app;

import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;

/**
 * Defines the commands and their options through picocli's programmatic API. Annotations are not used: reading them by
 * reflection took a considerable part of the startup time, and a controller has only a small share of a CPU core.
 */
final class CommandLineModel {
    private CommandLineModel() {}

    static CommandLine commandLine() {
        return new CommandLine(main())
                .addSubcommand("check", command("check", "Checks the settings without starting a controller."))
                .addSubcommand("limits", limits())
                .addSubcommand(
                        "warm-up",
                        hidden("warm-up", "Loads the classes of a controller, for the class archive of the build."));
    }

    private static CommandSpec limits() {
        CommandSpec set =
                command("set", "Changes a team's recorded limits; an option that is left out changes nothing.");
        set.addPositional(name("TEAM", "The team's name in the settings file."));
        set.addOption(amount("--cpus", "The guarantee in CPUs."));
        set.addOption(amount("--gpus", "The guarantee in GPUs."));
        set.addOption(option(
                "--cohort", "NAME", String.class, "The cohort whose unused capacity the team may borrow, or none."));
        addLimits(set);
        CommandSpec setCohort =
                command("set-cohort", "Creates a cohort or changes the limits on its teams' total use.");
        setCohort.addPositional(name("NAME", "The cohort's name."));
        addLimits(setCohort);
        CommandSpec limits = command("limits", "Shows or changes the recorded limits.");
        limits.addSubcommand("show", command("show", "Prints all recorded limits."));
        limits.addSubcommand("set", set);
        limits.addSubcommand("set-cohort", setCohort);
        return limits;
    }

    private static void addLimits(CommandSpec set) {
        set.addOption(amount("--cpus-max", "The limit in CPUs; 0 means no limit."));
        set.addOption(amount("--gpus-max", "The limit in GPUs; 0 means no limit."));
        String overDescription =
                "Tasks above the limit: drain (they run to completion) or displace (they are stopped).";
        set.addOption(option("--over", "POLICY", String.class, overDescription));
    }

    private static PositionalParamSpec name(String label, String description) {
        return PositionalParamSpec.builder()
                .paramLabel(label)
                .index("0")
                .arity("1")
                .type(String.class)
                .description(description)
                .build();
    }

    private static OptionSpec amount(String name, String description) {
        return option(name, "NUMBER", Double.class, description);
    }

    private static OptionSpec option(String name, String label, Class<?> type, String description) {
        return OptionSpec.builder(name)
                .paramLabel(label)
                .type(type)
                .description(description)
                .build();
    }

    private static CommandSpec main() {
        return command("weldcourse", "Runs one controller of a weldcourse cluster.")
                .version("weldcourse " + Main.VERSION)
                .addOption(OptionSpec.builder("-V", "--version")
                        .versionHelp(true)
                        .description("Print the version and exit.")
                        .build());
    }

    private static CommandSpec command(String name, String description) {
        CommandSpec spec = CommandSpec.create()
                .name(name)
                .addOption(OptionSpec.builder("--config")
                        .paramLabel("FILE")
                        .type(Path.class)
                        .description("The platform's settings file (TOML).")
                        .build())
                .addOption(OptionSpec.builder("--operators")
                        .paramLabel("FILE")
                        .type(Path.class)
                        .description(
                                "The operators' settings file (XML); settings that are left out keep their defaults.")
                        .build())
                .addOption(OptionSpec.builder("-h", "--help")
                        .usageHelp(true)
                        .description("Print this help and exit.")
                        .build());
        spec.usageMessage().description(description);
        return spec;
    }

    private static CommandSpec hidden(String name, String description) {
        CommandSpec spec = command(name, description);
        spec.usageMessage().hidden(true);
        return spec;
    }
}
