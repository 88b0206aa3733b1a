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

/** Plays soak runs from one seed to another, and ends with pass or fail and the seeds that failed. */
@Command(
        name = "soak",
        description = "Plays seeded runs of real controllers under faults.",
        mixinStandardHelpOptions = true)
public final class SoakCommand implements Callable<Integer> {
    static final int PASSED = 0;
    static final int FAILED = 1;
    static final int BAD_OPTIONS = 2;

    private static final int MOST_SEEDS = 100_000;
    private static final int MOST_CONTROLLERS = 9;
    private static final int MOST_MACHINES = 400;
    private static final int MOST_PARALLEL = 16;
    private static final int MOST_SECONDS = 3_600;
    /** What a controller takes at most, and what the stand-ins of one run do. */
    private static final long CONTROLLER_MB = 125;

    private static final long STAND_INS_MB = 200;
    private static final long MEGABYTE = 1L << 20;

    @Option(names = "--seeds", required = true, description = "One seed, or the first and the last: 1-50.")
    private String seeds;

    @Option(names = "--controllers", defaultValue = "3", description = "Controllers of each run (default 3).")
    private int controllers;

    @Option(names = "--machines", defaultValue = "16", description = "Machines of each run (default 16).")
    private int machines;

    @Option(names = "--seconds", defaultValue = "45", description = "How long faults come (default 45).")
    private int seconds;

    @Option(names = "--parallel", defaultValue = "1", description = "Runs at once (default 1).")
    private int parallel;

    @Option(names = "--faults", description = "Kinds of faults, by commas (default: all).")
    private String faults;

    @Option(names = "--operators", description = "Operators' settings file for the controllers.")
    private Path operators;

    @Option(names = "--logs", defaultValue = "target/soak", description = "Where logs of failed runs stay.")
    private Path logs;

    private long firstSeed;
    private long lastSeed;

    /** A call that can't be carried out as it stands. */
    private static final class BadOptions extends Exception {
        BadOptions(String reason) {
            super(reason);
        }
    }

    /** Plays the runs that the words ask for; ends with 0, 1 when a run failed, 2 when the call is wrong. */
    public static void main(String[] words) {
        System.exit(run(words));
    }

    static int run(String... words) {
        return new CommandLine(new SoakCommand())
                .setParameterExceptionHandler((problem, unused) -> {
                    System.err.println(
                            "soak: " + problem.getMessage().lines().findFirst().orElse("bad options"));
                    return BAD_OPTIONS;
                })
                .execute(words);
    }

    @Override
    public Integer call() throws Exception {
        SoakSettings settings;
        try {
            settings = settings();
        } catch (BadOptions bad) {
            System.err.println("soak: " + bad.getMessage());
            return BAD_OPTIONS;
        }
        System.out.println("soak: seeds " + firstSeed + " to " + lastSeed + ", " + settings);
        List<Long> failed = new ArrayList<>();
        ExecutorService pool = Executors.newFixedThreadPool(parallel);
        CompletionService<SoakReport> runs = new ExecutorCompletionService<>(pool);
        for (long seed = firstSeed; seed <= lastSeed; seed++) {
            SoakRun run = new SoakRun(seed, settings);
            runs.submit(run::play);
        }
        for (long played = firstSeed; played <= lastSeed; played++) {
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

    private SoakSettings settings() throws BadOptions {
        readSeeds();
        within("--controllers", controllers, 1, MOST_CONTROLLERS);
        within("--machines", machines, 1, MOST_MACHINES);
        within("--seconds", seconds, 1, MOST_SECONDS);
        within("--parallel", parallel, 1, MOST_PARALLEL);
        Set<SoakFault> chosen = chosenFaults();
        if (operators != null && !operators.toFile().canRead()) {
            throw new BadOptions("--operators: can't read " + operators);
        }
        long neededMb = parallel * (controllers * CONTROLLER_MB + STAND_INS_MB);
        long mayUseMb = memoryMb() / 2;
        if (neededMb > mayUseMb) {
            throw new BadOptions("too little memory: " + neededMb + " MB are needed, " + mayUseMb + " may be used");
        }
        String file = operators == null ? null : operators.toString();
        return new SoakSettings(controllers, machines, chosen, seconds * 1_000L, file, logs);
    }

    private void readSeeds() throws BadOptions {
        String[] bounds = seeds.split("-", -1);
        try {
            firstSeed = Long.parseLong(bounds[0]);
            lastSeed = Long.parseLong(bounds[bounds.length - 1]);
        } catch (NumberFormatException bad) {
            throw new BadOptions("--seeds: neither a seed nor a first and a last: " + seeds);
        }
        if (bounds.length > 2 || lastSeed < firstSeed || lastSeed - firstSeed >= MOST_SEEDS) {
            throw new BadOptions("--seeds: no seeds in " + seeds);
        }
    }

    private static void within(String option, int value, int least, int most) throws BadOptions {
        if (value < least || value > most) {
            throw new BadOptions(option + ": " + value + " is not from " + least + " to " + most);
        }
    }

    private Set<SoakFault> chosenFaults() throws BadOptions {
        if (faults == null) {
            return EnumSet.allOf(SoakFault.class);
        }
        Set<SoakFault> chosen = EnumSet.noneOf(SoakFault.class);
        for (String name : faults.split(",")) {
            try {
                chosen.add(
                        SoakFault.valueOf(name.strip().toUpperCase(Locale.ROOT).replace('-', '_')));
            } catch (IllegalArgumentException unknown) {
                throw new BadOptions("--faults: unknown fault " + name);
            }
        }
        return chosen;
    }

    private static long memoryMb() {
        var system = ManagementFactory.getOperatingSystemMXBean();
        return system instanceof com.sun.management.OperatingSystemMXBean machine
                ? machine.getTotalMemorySize() / MEGABYTE
                : Runtime.getRuntime().maxMemory() / MEGABYTE;
    }
}
