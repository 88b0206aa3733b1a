package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.weldcourse.http.Json;
import org.weldcourse.quota.QuotaHistoryChecker;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.DeployedProgram;
import org.weldcourse.simulation.LoopbackCluster;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against exceeded limits and lost jobs when real controller processes fail. Three controllers run against
 * simulated services on the loopback and all receive jobs while one is frozen and resumed, the leader is killed, and
 * the operators' command lowers limits. The quota history must show no exceeded limit, and every accepted job must
 * end. {@code -Dweldcourse.submissions=N} sets the number of jobs.
 */
class RealTeamLimitsTest {
    private static final int SUBMISSIONS = Integer.getInteger("weldcourse.submissions", 240);
    private static final String OPERATOR_SETTINGS_FILE =
            System.getProperty("weldcourse.team-limits", "deploy/team-limits.xml");
    private static final int MACHINES = 24;
    private static final int CLIENTS = 24;
    private static final long SUBMISSION_INTERVAL_MILLIS = Long.getLong("weldcourse.pace-millis", 100);
    private static final long MAX_SECONDS_UNTIL_ALL_END = 120 + SUBMISSIONS / 10;
    private static final double CORE_LIMIT = 48;
    private static final List<Settings.Team> TEAMS =
            List.of(new Settings.Team("core", 8, CORE_LIMIT, 0, 0), new Settings.Team("edge", 8, 48, 0, 0));

    @TempDir
    private Path directory;

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private final ConcurrentHistogram acceptanceMicros = new ConcurrentHistogram(3);
    private final ConcurrentHistogram firstStartMicros = new ConcurrentHistogram(3);
    private final Map<String, Long> submittedNanos = new ConcurrentHashMap<>();
    private final List<String> accepted = new ArrayList<>();
    private final AtomicInteger refusals = new AtomicInteger();
    private LoopbackCluster cluster;
    private QuotaHistoryChecker quotaHistory;

    @Test
    void limitsHoldAcrossAFrozenAndAKilledProcess() throws Exception {
        List<String> options =
                OPERATOR_SETTINGS_FILE.isEmpty() ? List.of() : List.of("--operators", OPERATOR_SETTINGS_FILE);
        cluster = new LoopbackCluster(3, MACHINES, TEAMS, directory, options);
        quotaHistory = cluster.callOnEventLoop(() -> new QuotaHistoryChecker(cluster.store(), cluster.invariants()));
        cluster.callOnEventLoop(() -> {
            cluster.invariants().addStartListener((task, attempt) -> recordFirstStart(task));
            return null;
        });
        try {
            for (String name : cluster.names()) {
                cluster.start(name);
            }
            awaitReady();
            if (!OPERATOR_SETTINGS_FILE.isEmpty()) {
                runLimitsCommand("set-cohort", "branches", "--cpus-max", "80");
                runLimitsCommand("set", "core", "--cohort", "branches");
                runLimitsCommand("set", "edge", "--cohort", "branches");
            }
            long startNanos = System.nanoTime();
            Thread faultInjector = new Thread(this::injectFaults);
            faultInjector.start();
            submitAll();
            double submitSeconds = (System.nanoTime() - startNanos) / 1e9;
            faultInjector.join();
            awaitAllEnded();
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            cluster.throwFailure();
            checkEveryJobIsKnown();
            report(submitSeconds, seconds);
        } finally {
            cluster.close();
        }
    }

    private void recordFirstStart(String task) {
        Long submittedAt = submittedNanos.remove(task.substring(0, task.indexOf('/')));
        if (submittedAt != null) {
            firstStartMicros.recordValue((System.nanoTime() - submittedAt) / 1_000);
        }
    }

    private void awaitReady() throws Exception {
        for (int i = 0; i < 200; i++) {
            int ready = 0;
            for (String name : cluster.names()) {
                ready += statusOf("GET", "http://" + cluster.api(name) + "/ready") == 200 ? 1 : 0;
            }
            if (ready == cluster.names().size() && cluster.leader() != null) {
                return;
            }
            Thread.sleep(100);
        }
        throw new AssertionError("the controllers are not ready");
    }

    private int statusOf(String method, String uri) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                    .timeout(Duration.ofSeconds(2))
                    .method(method, HttpRequest.BodyPublishers.noBody())
                    .build();
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException unreachable) {
            return 0;
        }
    }

    /** Runs the operators' {@code limits} command in a process of its own. */
    private void runLimitsCommand(String... arguments) throws Exception {
        List<String> command = new ArrayList<>(DeployedProgram.command(word -> word));
        command.remove(command.size() - 1);
        command.add("limits");
        command.addAll(List.of(arguments));
        command.addAll(List.of("--config", cluster.settingsFile("n0").toString()));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
        System.out.print("limits " + String.join(" ", arguments) + ": " + output);
    }

    private void injectFaults() {
        try {
            String leader = cluster.leader();
            String standby = cluster.names().stream()
                    .filter(name -> !name.equals(leader))
                    .findFirst()
                    .orElseThrow();
            Thread.sleep(3_000);
            cluster.freeze(standby, true);
            Thread.sleep(1_000);
            if (!OPERATOR_SETTINGS_FILE.isEmpty()) {
                runLimitsCommand("set", "core", "--cpus", "2", "--cpus-max", "10", "--over", "displace");
            }
            Thread.sleep(2_000);
            cluster.kill(leader);
            Thread.sleep(300);
            cluster.start(leader);
            Thread.sleep(4_000);
            cluster.freeze(standby, false);
            Thread.sleep(2_000);
            if (!OPERATOR_SETTINGS_FILE.isEmpty()) {
                runLimitsCommand("set-cohort", "branches", "--cpus-max", "30", "--over", "displace");
                Thread.sleep(3_000);
                runLimitsCommand("set-cohort", "branches", "--cpus-max", "80", "--over", "drain");
                runLimitsCommand("set", "core", "--cpus", "8", "--cpus-max", String.valueOf(CORE_LIMIT));
            }
        } catch (Exception failure) {
            cluster.runOnEventLoop(() -> {
                throw new AssertionError("the failures could not be injected", failure);
            });
        }
    }

    private void submitAll() throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        Semaphore submissionPermits = new Semaphore(0);
        CountDownLatch remaining = new CountDownLatch(SUBMISSIONS);
        for (int i = 1; i <= SUBMISSIONS; i++) {
            int number = i;
            clients.execute(() -> {
                try {
                    submissionPermits.acquire();
                    submit(number);
                } catch (Exception failure) {
                    cluster.runOnEventLoop(() -> {
                        throw new AssertionError("a client failed", failure);
                    });
                } finally {
                    remaining.countDown();
                }
            });
        }
        // Submits at intervals, so that the failures occur between submissions and quota becomes free to reserve.
        while (remaining.getCount() > 0) {
            submissionPermits.release(1);
            remaining.await(SUBMISSION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
        clients.shutdown();
    }

    private void submit(int number) throws Exception {
        String id = String.format("req-%06d", number);
        boolean gang = number % 3 == 0;
        Map<String, Object> body = jobBody(
                id,
                "crew",
                number % 2 == 0 ? "core" : "edge",
                "cpus",
                1.0,
                "beads",
                gang ? 2L : 1L + number % 4,
                "shape",
                gang ? "ensemble" : "array");
        // Waits for the registration: the simulated services may serve a controller's write before other queued work.
        cluster.callOnEventLoop(() -> {
            cluster.invariants().jobs.put(id, Json.objectOrEmpty(Json.bytes(body)));
            return cluster.invariants().runMicros.put(id, 200_000L + number % 5 * 200_000L);
        });
        submittedNanos.put(id, System.nanoTime());
        for (int attempt = 0; attempt < 60; attempt++) {
            String node =
                    cluster.names().get((number + attempt) % cluster.names().size());
            long sentNanos = System.nanoTime();
            if (isAccepted(node, id, body)) {
                acceptanceMicros.recordValue((System.nanoTime() - sentNanos) / 1_000);
                synchronized (accepted) {
                    accepted.add(id);
                }
                return;
            }
            refusals.incrementAndGet();
            Thread.sleep(1_000);
        }
        cluster.runOnEventLoop(() -> {
            throw new AssertionError(id + " was not accepted");
        });
    }

    private boolean isAccepted(String node, String id, Map<String, Object> body) throws InterruptedException {
        SimulatedCluster.ApiResponse answer = answer("POST", node, "/v1/jobs", Json.bytes(body));
        if (answer.status() == 200 || answer.status() == 201) {
            cluster.runOnEventLoop(() -> cluster.invariants().checkResponse(id, null, answer));
            return true;
        }
        return false;
    }

    private SimulatedCluster.ApiResponse answer(String method, String node, String path, byte[] body)
            throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + cluster.api(node) + path))
                    .timeout(Duration.ofSeconds(5))
                    .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                    .build();
            HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return new SimulatedCluster.ApiResponse(response.statusCode(), Json.objectOrEmpty(response.body()), 0);
        } catch (IOException unreachable) {
            return new SimulatedCluster.ApiResponse(0, Map.of(), 0);
        }
    }

    private void awaitAllEnded() throws Exception {
        for (int i = 0; i < MAX_SECONDS_UNTIL_ALL_END * 5; i++) {
            cluster.throwFailure();
            if (cluster.callOnEventLoop(() -> cluster.store().keys("open/").isEmpty())) {
                return;
            }
            Thread.sleep(200);
        }
        throw new AssertionError(
                "still open: " + cluster.callOnEventLoop(() -> cluster.store().keys("open/")));
    }

    private void checkEveryJobIsKnown() throws Exception {
        assertEquals(SUBMISSIONS, accepted.size());
        for (int i = 0; i < accepted.size(); i += Math.max(1, accepted.size() / 100)) {
            String id = accepted.get(i);
            String node = cluster.names().get(i % cluster.names().size());
            assertEquals(
                    "done", answer("GET", node, "/v1/jobs/" + id, new byte[0]).state(), id);
        }
        for (String id : accepted) {
            assertNotNull(cluster.callOnEventLoop(() -> cluster.store().value("final/" + id)), id);
        }
    }

    private void report(double submitSeconds, double seconds) throws Exception {
        int writes = cluster.callOnEventLoop(() -> cluster.store().writes());
        int requests = cluster.callOnEventLoop(() -> cluster.store().requests());
        System.out.printf(
                "real processes, %s: %d jobs in %.1f s (%.1f a second accepted), %d refused and tried again; accepted"
                        + " after p50 %.1f p99 %.1f ms; first start after p50 %.2f p99 %.2f s; %d reservations,"
                        + " %d budgets, %d admissions of tasks, %d starts; %d changes (%.2f a job), %d requests%n",
                OPERATOR_SETTINGS_FILE.isEmpty() ? "limits of settings" : "limits on record",
                SUBMISSIONS,
                seconds,
                SUBMISSIONS / submitSeconds,
                refusals.get(),
                acceptanceMicros.getValueAtPercentile(50) / 1e3,
                acceptanceMicros.getValueAtPercentile(99) / 1e3,
                firstStartMicros.getValueAtPercentile(50) / 1e6,
                firstStartMicros.getValueAtPercentile(99) / 1e6,
                quotaHistory.reservations(),
                quotaHistory.budgets(),
                quotaHistory.admissions(),
                quotaHistory.starts(),
                writes,
                (double) writes / SUBMISSIONS,
                requests);
        System.out.println("PASS: no overshoot, every accepted job has ended");
        assertTrue(
                OPERATOR_SETTINGS_FILE.isEmpty() || quotaHistory.reservations() > 0, "controllers made reservations");
    }
}
