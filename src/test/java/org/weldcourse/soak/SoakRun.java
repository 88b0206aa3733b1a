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

/** One seeded run: real controllers under a schedule of faults, then peace, in which everything has to come to its end. */
final class SoakRun {
    private static final long WARM_UP_MILLIS = 8_000;
    private static final long MOST_MILLIS_TO_LEAD = 30_000;
    /** Troubles over, a question without an answer for so long counts as forgotten. */
    private static final long FORGOTTEN_MICROS = 75_000_000;
    /** Longer than any task runs and any evidence takes: without a start or an end, something waits for ever. */
    private static final long MOST_IDLE_MILLIS = 90_000;

    private static final int MOST_EVENTS_KEPT = 400;
    private static final int LARGE_FLEET = 50;
    private static final int OPEN_JOBS = 18;
    private static final List<Settings.Team> TEAMS = List.of(
            new Settings.Team("core", 4, 16, 0, 0),
            new Settings.Team("edge", 0, 12, 0, 0),
            new Settings.Team("capped", 0, 8, 0, 0));

    private final long seed;
    private final SoakSettings settings;
    private final Path directory;
    private final FaultSchedule schedule;
    private final Map<SoakFault, Integer> happened = new EnumMap<>(SoakFault.class);
    private final Deque<String> events = new ArrayDeque<>();
    private LoopbackCluster cluster;
    private SoakUsers users;
    private long beganMillis;

    SoakRun(long seed, SoakSettings settings) {
        this.seed = seed;
        this.settings = settings;
        this.directory = settings.directory().resolve("seed-" + seed);
        this.schedule = FaultSchedule.of(seed, settings.faults(), settings.faultMillis());
    }

    /** Plays the run; all of its processes have ended when this returns. */
    SoakReport play() throws Exception {
        Files.createDirectories(directory);
        SoakReport report;
        try {
            cluster = new LoopbackCluster(settings.controllers(), settings.machines(), TEAMS, directory, options());
            report = report(failureOf());
        } finally {
            if (cluster != null) {
                cluster.close();
            }
        }
        if (report.isPassed()) {
            deleteLogs();
        } else {
            Files.write(directory.resolve("events.txt"), events);
            Files.writeString(directory.resolve("report.txt"), report.toString());
        }
        return report;
    }

    private List<String> options() {
        return settings.operatorsFile() == null ? List.of() : List.of("--operators", settings.operatorsFile());
    }

    /** What broke, or null. */
    private Throwable failureOf() {
        try {
            playFaults();
            comeToRest();
            return null;
        } catch (Exception | AssertionError failure) {
            return failure;
        }
    }

    private void playFaults() throws Exception {
        cluster.callOnEventLoop(() -> {
            cluster.faults().seed(seed);
            if (settings.machines() >= LARGE_FLEET) {
                rentAll();
            }
            cluster.invariants().addStartListener((task, attempt) -> note("start of " + task + " attempt " + attempt));
            return null;
        });
        for (String name : cluster.names()) {
            cluster.start(name);
        }
        awaitControllers();
        users = cluster.callOnEventLoop(() -> {
            SoakUsers made = new SoakUsers(cluster, TEAMS, seed, OPEN_JOBS);
            made.begin();
            return made;
        });
        Thread.sleep(WARM_UP_MILLIS);
        beganMillis = System.currentTimeMillis();
        SoakFaults faults = new SoakFaults(cluster, users, this::note);
        for (FaultSchedule.Event event : schedule.events()) {
            faults.endThoseDueUntil(beganMillis + event.atMillis());
            sleepUntil(beganMillis + event.atMillis());
            cluster.throwFailure();
            note(event.toString());
            if (faults.begin(event, beganMillis + event.atMillis() + event.lengthMillis())) {
                happened.merge(event.fault(), 1, Integer::sum);
            }
        }
        faults.endThoseDueUntil(Long.MAX_VALUE);
    }

    /** A large fleet is up from the start; its spot machines are kept for as long as the faults come. */
    private void rentAll() {
        for (int i = 0; i < settings.machines(); i++) {
            cluster.cloud().addUnrequested("large", i % 2 == 0 ? "a" : "b", true);
        }
    }

    private void awaitControllers() throws Exception {
        long untilMillis = System.currentTimeMillis() + MOST_MILLIS_TO_LEAD;
        while (cluster.leader() == null || !cluster.names().stream().allMatch(this::answers)) {
            if (System.currentTimeMillis() > untilMillis) {
                throw new AssertionError("nobody leads, or not every controller answers");
            }
            Thread.sleep(100);
        }
    }

    private boolean answers(String node) {
        try {
            return !SoakMetrics.scrape(cluster.api(node)).isEmpty();
        } catch (IOException notYet) {
            return false;
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    static void sleepUntil(long atMillis) throws InterruptedException {
        long leftMillis = atMillis - System.currentTimeMillis();
        if (leftMillis > 0) {
            Thread.sleep(leftMillis);
        }
    }

    /** Troubles are over: every accepted job ends, and every question is answered. */
    private void comeToRest() throws Exception {
        note("peace");
        cluster.callOnEventLoop(() -> {
            cluster.faults().healAll();
            return null;
        });
        // Users go on for a while, so that a service that has stopped serving shows.
        Thread.sleep(WARM_UP_MILLIS);
        long quietMicros = cluster.callOnEventLoop(() -> {
            users.stopSubmitting();
            return cluster.time().nowMicros();
        });
        long movedMillis = System.currentTimeMillis();
        int before = -1;
        while (true) {
            cluster.throwFailure();
            List<String> left = cluster.callOnEventLoop(users::unfinished);
            if (left.isEmpty()) {
                break;
            }
            cluster.callOnEventLoop(() -> {
                checkAnswered(left, quietMicros);
                return null;
            });
            int now = cluster.callOnEventLoop(() -> cluster.invariants().starts.size() * 1_000 - left.size());
            if (now != before) {
                before = now;
                movedMillis = System.currentTimeMillis();
            } else if (System.currentTimeMillis() - movedMillis > MOST_IDLE_MILLIS) {
                throw new AssertionError("neither run nor end: " + left + " records "
                        + cluster.callOnEventLoop(() -> cluster.state().keys("")));
            }
            Thread.sleep(300);
        }
        awaitCleanRecords();
        cluster.throwFailure();
        checkThatNothingWasRefusedWrongly();
        checkThatSomethingHappened();
    }

    private void checkThatNothingWasRefusedWrongly() throws Exception {
        int violations = SoakMetrics.violations(cluster);
        if (violations > 0) {
            throw new AssertionError(violations + " starts were refused that should never have been asked for");
        }
        checkLogs();
    }

    private void checkThatSomethingHappened() throws Exception {
        if (happened.isEmpty()) {
            throw new AssertionError("no fault took effect");
        }
        if (cluster.callOnEventLoop(() -> cluster.invariants().starts.isEmpty())) {
            throw new AssertionError("nothing_ran");
        }
    }

    private void checkAnswered(List<String> ids, long quietMicros) {
        long nowMicros = cluster.time().nowMicros();
        for (String id : ids) {
            if (nowMicros - Math.max(quietMicros, users.answeredMicros(id)) > FORGOTTEN_MICROS) {
                throw new AssertionError("forgotten: no question about " + id + " is answered");
            }
        }
    }

    /** Nothing stays on record that no leader would ever take away. */
    private void awaitCleanRecords() throws Exception {
        long untilMillis = System.currentTimeMillis() + MOST_IDLE_MILLIS;
        while (!cluster.callOnEventLoop(
                () -> cluster.state().keys("outstanding/").isEmpty())) {
            if (System.currentTimeMillis() > untilMillis) {
                throw new AssertionError("left on record: "
                        + cluster.callOnEventLoop(() -> cluster.state().keys("outstanding/")));
            }
            Thread.sleep(300);
        }
    }

    /** Processes that have ended took their counts with them, but not their logs. */
    private void checkLogs() throws IOException {
        for (String name : cluster.names()) {
            for (String line : Files.readAllLines(directory.resolve(name + ".log"))) {
                if (line.contains("ERROR StartAuthorization")) {
                    throw new AssertionError(name + ": " + line);
                }
            }
        }
    }

    private synchronized void note(String event) {
        double seconds = beganMillis == 0 ? 0 : (System.currentTimeMillis() - beganMillis) / 1e3;
        events.add(String.format("%8.3f %s", seconds, event));
        if (events.size() > MOST_EVENTS_KEPT) {
            events.remove();
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
                Map.copyOf(happened),
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
