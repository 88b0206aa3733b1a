package org.weldcourse.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.LoopbackCluster;

/**
 * One seeded run: real controllers under a schedule of faults, followed by a phase without faults in which every job
 * has to end.
 */
final class SoakRun {
    private static final long WARM_UP_MILLIS = 8_000;
    private static final long STARTUP_TIMEOUT_MILLIS = 30_000;
    /** How long requests about a job may stay unanswered after the faults have ended, before the job counts as lost. */
    private static final long ANSWER_TIMEOUT_MICROS = 75_000_000;
    /**
     * How long a run may go on without the first start of a task or the end of a job. No task runs for longer, and no
     * evidence that a task has ended takes longer, so a run that exceeds this time is stuck.
     */
    private static final long PROGRESS_TIMEOUT_MILLIS = 90_000;

    private static final int MAX_LOGGED_EVENTS = 400;
    private static final int LARGE_FLEET_MACHINES = 50;
    private static final int MAX_OPEN_JOBS = 18;
    private static final List<Settings.Team> TEAMS = List.of(
            new Settings.Team("core", 4, 16, 0, 0),
            new Settings.Team("edge", 0, 12, 0, 0),
            new Settings.Team("capped", 0, 8, 0, 0));

    private final long seed;
    private final SoakSettings settings;
    private final Path directory;
    private final FaultSchedule schedule;
    private final Map<SoakFault, Integer> injectedFaults = new EnumMap<>(SoakFault.class);
    private final Deque<String> eventLog = new ArrayDeque<>();
    private LoopbackCluster cluster;
    private SimulatedUsers users;
    private long faultsStartMillis;

    SoakRun(long seed, SoakSettings settings) {
        this.seed = seed;
        this.settings = settings;
        this.directory = settings.directory().resolve("seed-" + seed);
        this.schedule = FaultSchedule.generate(seed, settings.faults(), settings.faultMillis());
    }

    /** Executes the run; all of its processes have ended when this method returns. */
    SoakReport execute() throws Exception {
        Files.createDirectories(directory);
        SoakReport report;
        try {
            cluster = new LoopbackCluster(settings.controllers(), settings.machines(), TEAMS, directory, options());
            report = report(runScenario());
        } finally {
            if (cluster != null) {
                cluster.close();
            }
        }
        if (report.isPassed()) {
            deleteLogs();
        } else {
            Files.write(directory.resolve("events.txt"), eventLog);
            Files.writeString(directory.resolve("report.txt"), report.toString());
        }
        return report;
    }

    private List<String> options() {
        return settings.operatorsFile() == null ? List.of() : List.of("--operators", settings.operatorsFile());
    }

    /** Runs the scenario and returns its failure, or null. */
    private Throwable runScenario() {
        try {
            runFaults();
            awaitCompletion();
            return null;
        } catch (Exception | AssertionError failure) {
            return failure;
        }
    }

    private void runFaults() throws Exception {
        cluster.callOnEventLoop(() -> {
            cluster.faults().seed(seed);
            if (settings.machines() >= LARGE_FLEET_MACHINES) {
                startLargeFleet();
            }
            cluster.invariants()
                    .addStartListener((task, attempt) -> logEvent("start of " + task + " attempt " + attempt));
            return null;
        });
        for (String name : cluster.names()) {
            cluster.start(name);
        }
        awaitControllers();
        users = cluster.callOnEventLoop(() -> {
            SimulatedUsers created = new SimulatedUsers(cluster, TEAMS, seed, MAX_OPEN_JOBS);
            created.start();
            return created;
        });
        Thread.sleep(WARM_UP_MILLIS);
        faultsStartMillis = System.currentTimeMillis();
        FaultInjector injector = new FaultInjector(cluster, users, this::logEvent);
        for (FaultSchedule.Event event : schedule.events()) {
            injector.runRecoveriesUntil(faultsStartMillis + event.startMillis());
            sleepUntil(faultsStartMillis + event.startMillis());
            cluster.throwFailure();
            logEvent(event.toString());
            if (injector.inject(event, faultsStartMillis + event.startMillis() + event.durationMillis())) {
                injectedFaults.merge(event.fault(), 1, Integer::sum);
            }
        }
        injector.runRecoveriesUntil(Long.MAX_VALUE);
    }

    /**
     * Starts all machines of a large fleet at once. They are spot machines, which scale-in keeps longer than on-demand
     * ones, so that the fleet stays up while faults are injected.
     */
    private void startLargeFleet() {
        for (int i = 0; i < settings.machines(); i++) {
            cluster.cloud().addUnrequested("large", i % 2 == 0 ? "a" : "b", true);
        }
    }

    private void awaitControllers() throws Exception {
        long deadlineMillis = System.currentTimeMillis() + STARTUP_TIMEOUT_MILLIS;
        while (cluster.leader() == null || !cluster.names().stream().allMatch(this::respondsToScrape)) {
            if (System.currentTimeMillis() > deadlineMillis) {
                throw new AssertionError("there is no leader, or a controller does not answer scrapes");
            }
            Thread.sleep(100);
        }
    }

    private boolean respondsToScrape(String node) {
        try {
            return !SoakMetrics.scrape(cluster.api(node)).isEmpty();
        } catch (IOException unreachable) {
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    static void sleepUntil(long wakeUpMillis) throws InterruptedException {
        long remainingMillis = wakeUpMillis - System.currentTimeMillis();
        if (remainingMillis > 0) {
            Thread.sleep(remainingMillis);
        }
    }

    /** Ends all faults and waits for every accepted job to end, while requests about these jobs have to be answered. */
    private void awaitCompletion() throws Exception {
        logEvent("all faults are ended");
        cluster.callOnEventLoop(() -> {
            cluster.faults().healAll();
            return null;
        });
        // Users keep submitting for a while, so that a controller which no longer serves requests is detected.
        Thread.sleep(WARM_UP_MILLIS);
        long submissionsEndMicros = cluster.callOnEventLoop(() -> {
            users.stopSubmitting();
            return cluster.clock().nowMicros();
        });
        long lastProgressMillis = System.currentTimeMillis();
        int previousProgress = -1;
        while (true) {
            cluster.throwFailure();
            List<String> unfinished = cluster.callOnEventLoop(users::unfinished);
            if (unfinished.isEmpty()) {
                break;
            }
            cluster.callOnEventLoop(() -> {
                checkJobsAreAnswered(unfinished, submissionsEndMicros);
                return null;
            });
            int progress =
                    cluster.callOnEventLoop(() -> cluster.invariants().starts.size() * 1_000 - unfinished.size());
            if (progress != previousProgress) {
                previousProgress = progress;
                lastProgressMillis = System.currentTimeMillis();
            } else if (System.currentTimeMillis() - lastProgressMillis > PROGRESS_TIMEOUT_MILLIS) {
                throw new AssertionError(
                        "no new task starts and no job ends; unfinished jobs: " + unfinished + "; records: "
                                + cluster.callOnEventLoop(() -> cluster.store().keys("")));
            }
            Thread.sleep(300);
        }
        awaitOutstandingRecordsDeleted();
        cluster.throwFailure();
        checkNoLimitViolations();
        checkFaultsAndStartsOccurred();
    }

    private void checkNoLimitViolations() throws Exception {
        int violations = SoakMetrics.limitViolations(cluster);
        if (violations > 0) {
            throw new AssertionError(
                    violations + " starts were refused because the bookings of a team exceeded its limit");
        }
        checkLogs();
    }

    private void checkFaultsAndStartsOccurred() throws Exception {
        if (injectedFaults.isEmpty()) {
            throw new AssertionError("no fault took effect");
        }
        if (cluster.callOnEventLoop(() -> cluster.invariants().starts.isEmpty())) {
            throw new AssertionError("no task started");
        }
    }

    private void checkJobsAreAnswered(List<String> ids, long submissionsEndMicros) {
        long nowMicros = cluster.clock().nowMicros();
        for (String id : ids) {
            if (nowMicros - Math.max(submissionsEndMicros, users.lastAnswerMicros(id)) > ANSWER_TIMEOUT_MICROS) {
                throw new AssertionError("no request about job " + id + " is answered");
            }
        }
    }

    /** Waits until the store holds no records of outstanding jobs: one that no leader deletes would stay forever. */
    private void awaitOutstandingRecordsDeleted() throws Exception {
        long deadlineMillis = System.currentTimeMillis() + PROGRESS_TIMEOUT_MILLIS;
        while (!cluster.callOnEventLoop(
                () -> cluster.store().keys("outstanding/").isEmpty())) {
            if (System.currentTimeMillis() > deadlineMillis) {
                throw new AssertionError("records of outstanding jobs are not deleted: "
                        + cluster.callOnEventLoop(() -> cluster.store().keys("outstanding/")));
            }
            Thread.sleep(300);
        }
    }

    /** Checks the logs for limit violations, since the log of a killed process remains and its metrics do not. */
    private void checkLogs() throws IOException {
        for (String name : cluster.names()) {
            for (String line : Files.readAllLines(directory.resolve(name + ".log"))) {
                if (line.contains("ERROR StartAuthorization")) {
                    throw new AssertionError(name + ": " + line);
                }
            }
        }
    }

    private synchronized void logEvent(String event) {
        double seconds = faultsStartMillis == 0 ? 0 : (System.currentTimeMillis() - faultsStartMillis) / 1e3;
        eventLog.add(String.format("%8.3f %s", seconds, event));
        if (eventLog.size() > MAX_LOGGED_EVENTS) {
            eventLog.remove();
        }
    }

    private SoakReport report(Throwable failure) throws Exception {
        return cluster.callOnEventLoop(() -> new SoakReport(
                seed,
                failure,
                users == null ? 0 : users.submitted(),
                users == null ? 0 : users.accepted().size(),
                users == null ? 0 : users.answers(),
                cluster.invariants().starts.values().stream()
                        .mapToInt(Integer::intValue)
                        .sum(),
                Map.copyOf(injectedFaults),
                Map.copyOf(cluster.faults().effects()),
                directory));
    }

    private void deleteLogs() throws IOException {
        List<Path> files = new ArrayList<>();
        try (var listed = Files.list(directory)) {
            listed.forEach(files::add);
        }
        for (Path file : files) {
            Files.delete(file);
        }
        Files.delete(directory);
    }
}
