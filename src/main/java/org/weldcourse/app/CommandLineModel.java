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
        return new CommandLine(mainCommand())
                .addSubcommand("check", command("check", "Checks the settings without starting a controller."))
                .addSubcommand("limits", limitsCommand())
                .addSubcommand(
                        "warm-up",
                        hiddenCommand(
                                "warm-up", "Loads the classes of a controller, for the class archive of the build."));
    }

    private static CommandSpec limitsCommand() {
        CommandSpec setTeam =
                command("set", "Changes a team's recorded limits; values that are not given remain unchanged.");
        setTeam.addPositional(nameParameter("TEAM", "The team's name in the settings file."));
        setTeam.addOption(numberOption("--cpus", "The guarantee in CPUs."));
        setTeam.addOption(numberOption("--gpus", "The guarantee in GPUs."));
        setTeam.addOption(option(
                "--cohort", "NAME", String.class, "The cohort whose unused capacity the team may borrow, or none."));
        addLimitOptions(setTeam);
        CommandSpec setCohort =
                command("set-cohort", "Creates a cohort or changes the limits on its teams' total use.");
        setCohort.addPositional(nameParameter("NAME", "The cohort's name."));
        addLimitOptions(setCohort);
        CommandSpec limits = command("limits", "Shows or changes the recorded limits.");
        limits.addSubcommand("show", command("show", "Prints all recorded limits."));
        limits.addSubcommand("set", setTeam);
        limits.addSubcommand("set-cohort", setCohort);
        return limits;
    }

    private static void addLimitOptions(CommandSpec command) {
        command.addOption(numberOption("--cpus-max", "The limit in CPUs; 0 means no limit."));
        command.addOption(numberOption("--gpus-max", "The limit in GPUs; 0 means no limit."));
        String overDescription =
                "Tasks above the limit: drain (they run to completion) or displace (they are stopped).";
        command.addOption(option("--over", "POLICY", String.class, overDescription));
    }

    private static PositionalParamSpec nameParameter(String label, String description) {
        return PositionalParamSpec.builder()
                .paramLabel(label)
                .index("0")
                .arity("1")
                .type(String.class)
                .description(description)
                .build();
    }

    private static OptionSpec numberOption(String name, String description) {
        return option(name, "NUMBER", Double.class, description);
    }

    private static OptionSpec option(String name, String label, Class<?> type, String description) {
        return OptionSpec.builder(name)
                .paramLabel(label)
                .type(type)
                .description(description)
                .build();
    }

    private static CommandSpec mainCommand() {
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

    private static CommandSpec hiddenCommand(String name, String description) {
        CommandSpec spec = command(name, description);
        spec.usageMessage().hidden(true);
        return spec;
    }
}
