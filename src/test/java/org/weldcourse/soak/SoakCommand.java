package org.weldcourse.soak;

import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionService;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command that executes the soak runs of a range of seeds and reports the seeds that failed. */
@Command(
        name = "soak",
        description = "Runs real controllers under seeded random faults.",
        mixinStandardHelpOptions = true)
public final class SoakCommand implements Callable<Integer> {
    static final int PASSED = 0;
    static final int FAILED = 1;
    static final int BAD_OPTIONS = 2;

    private static final int MAX_SEEDS = 100_000;
    private static final int MAX_CONTROLLERS = 9;
    private static final int MAX_MACHINES = 400;
    private static final int MAX_PARALLEL_RUNS = 16;
    private static final int MAX_SECONDS = 3_600;
    /** The memory that one controller process needs at most. */
    private static final long CONTROLLER_MB = 125;
    /** The memory that the fakes of one run need. */
    private static final long FAKES_MB = 200;

    private static final long BYTES_PER_MB = 1L << 20;

    @Option(names = "--seeds", required = true, description = "One seed, or a range of seeds such as 1-50.")
    private String seeds;

    @Option(names = "--controllers", defaultValue = "3", description = "Controllers per run (default 3).")
    private int controllers;

    @Option(names = "--machines", defaultValue = "16", description = "Machines per run (default 16).")
    private int machines;

    @Option(
            names = "--seconds",
            defaultValue = "45",
            description = "Seconds during which faults are injected (default 45).")
    private int seconds;

    @Option(names = "--parallel", defaultValue = "1", description = "Runs that are executed in parallel (default 1).")
    private int parallel;

    @Option(names = "--faults", description = "Kinds of faults, separated by commas (default: all).")
    private String faults;

    @Option(names = "--operators", description = "Operators' settings file for the controllers.")
    private Path operators;

    @Option(names = "--logs", defaultValue = "target/soak", description = "Directory for the logs of failed runs.")
    private Path logs;

    private long firstSeed;
    private long lastSeed;

    /** Thrown for options that are invalid or that need more memory than the machine has. */
    private static final class InvalidOptionsException extends Exception {
        InvalidOptionsException(String reason) {
            super(reason);
        }
    }

    /** Executes the runs; exits with 0 if all of them passed, 1 if one failed, and 2 if an option is invalid. */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    static int run(String... arguments) {
        return new CommandLine(new SoakCommand())
                .setParameterExceptionHandler((exception, ignored) -> {
                    System.err.println("soak: "
                            + exception.getMessage().lines().findFirst().orElse("invalid options"));
                    return BAD_OPTIONS;
                })
                .execute(arguments);
    }

    @Override
    public Integer call() throws Exception {
        SoakSettings settings;
        try {
            settings = settings();
        } catch (InvalidOptionsException invalid) {
            System.err.println("soak: " + invalid.getMessage());
            return BAD_OPTIONS;
        }
        System.out.println("soak: seeds " + firstSeed + " to " + lastSeed + ", " + settings);
        List<Long> failed = new ArrayList<>();
        ExecutorService pool = Executors.newFixedThreadPool(parallel);
        CompletionService<SoakReport> runs = new ExecutorCompletionService<>(pool);
        for (long seed = firstSeed; seed <= lastSeed; seed++) {
            SoakRun run = new SoakRun(seed, settings);
            runs.submit(run::execute);
        }
        for (long seed = firstSeed; seed <= lastSeed; seed++) {
            SoakReport report = runs.take().get();
            System.out.println(report);
            if (!report.isPassed()) {
                failed.add(report.seed());
            }
        }
        pool.shutdown();
        System.out.println(failed.isEmpty() ? "PASS" : "FAIL: seeds " + failed);
        return failed.isEmpty() ? PASSED : FAILED;
    }

    private SoakSettings settings() throws InvalidOptionsException {
        parseSeeds();
        requireInRange("--controllers", controllers, 1, MAX_CONTROLLERS);
        requireInRange("--machines", machines, 1, MAX_MACHINES);
        requireInRange("--seconds", seconds, 1, MAX_SECONDS);
        requireInRange("--parallel", parallel, 1, MAX_PARALLEL_RUNS);
        Set<SoakFault> enabledFaults = parseFaults();
        if (operators != null && !operators.toFile().canRead()) {
            throw new InvalidOptionsException("--operators: can't read " + operators);
        }
        long neededMb = parallel * (controllers * CONTROLLER_MB + FAKES_MB);
        long availableMb = physicalMemoryMb() / 2;
        if (neededMb > availableMb) {
            throw new InvalidOptionsException(
                    "not enough memory: " + neededMb + " MB needed, " + availableMb + " MB available");
        }
        String operatorsFile = operators == null ? null : operators.toString();
        return new SoakSettings(controllers, machines, enabledFaults, seconds * 1_000L, operatorsFile, logs);
    }

    private void parseSeeds() throws InvalidOptionsException {
        String[] bounds = seeds.split("-", -1);
        try {
            firstSeed = Long.parseLong(bounds[0]);
            lastSeed = Long.parseLong(bounds[bounds.length - 1]);
        } catch (NumberFormatException invalid) {
            throw new InvalidOptionsException("--seeds: neither a seed nor a range of seeds: " + seeds);
        }
        if (bounds.length > 2 || lastSeed < firstSeed || lastSeed - firstSeed >= MAX_SEEDS) {
            throw new InvalidOptionsException("--seeds: invalid or too large range: " + seeds);
        }
    }

    private static void requireInRange(String option, int value, int min, int max) throws InvalidOptionsException {
        if (value < min || value > max) {
            throw new InvalidOptionsException(option + ": " + value + " is not between " + min + " and " + max);
        }
    }

    private Set<SoakFault> parseFaults() throws InvalidOptionsException {
        if (faults == null) {
            return EnumSet.allOf(SoakFault.class);
        }
        Set<SoakFault> enabledFaults = EnumSet.noneOf(SoakFault.class);
        for (String name : faults.split(",")) {
            try {
                enabledFaults.add(
                        SoakFault.valueOf(name.strip().toUpperCase(Locale.ROOT).replace('-', '_')));
            } catch (IllegalArgumentException unknown) {
                throw new InvalidOptionsException("--faults: unknown fault " + name);
            }
        }
        return enabledFaults;
    }

    private static long physicalMemoryMb() {
        var system = ManagementFactory.getOperatingSystemMXBean();
        return system instanceof com.sun.management.OperatingSystemMXBean platform
                ? platform.getTotalMemorySize() / BYTES_PER_MB
                : Runtime.getRuntime().maxMemory() / BYTES_PER_MB;
    }
}
