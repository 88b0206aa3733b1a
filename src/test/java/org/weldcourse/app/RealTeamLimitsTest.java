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
 * Three controllers as real processes against stand-ins on the loopback, jobs submitted to all of them at once: one is
 * frozen and resumed, the leader is killed, and limits are lowered by the command in the midst. The history has to show no
 * overshoot, and every accepted job has to end. {@code -Dweldcourse.submissions=N} makes it longer.
 */
class RealTeamLimitsTest {
    private static final int SUBMISSIONS = Integer.getInteger("weldcourse.submissions", 240);
    private static final String MODE = System.getProperty("weldcourse.team-limits", "deploy/team-limits.xml");
    private static final int MACHINES = 24;
    private static final int CLIENTS = 24;
    private static final long PACE_MILLIS = Long.getLong("weldcourse.pace-millis", 100);
    private static final long MOST_SECONDS_TO_END = 120 + SUBMISSIONS / 10;
    private static final double CORE_LIMIT = 48;
    private static final List<Settings.Team> TEAMS =
            List.of(new Settings.Team("core", 8, CORE_LIMIT, 0, 0), new Settings.Team("edge", 8, 48, 0, 0));

    @TempDir
    private Path directory;

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private final ConcurrentHistogram acceptMicros = new ConcurrentHistogram(3);
    private final ConcurrentHistogram startMicros = new ConcurrentHistogram(3);
    private final Map<String, Long> submittedNanos = new ConcurrentHashMap<>();
    private final List<String> accepted = new ArrayList<>();
    private final AtomicInteger refusals = new AtomicInteger();
    private LoopbackCluster cluster;
    private QuotaHistoryChecker history;

    @Test
    void limitsHoldOverAFrozenAndAKilledProcess() throws Exception {
        List<String> options = MODE.isEmpty() ? List.of() : List.of("--operators", MODE);
        cluster = new LoopbackCluster(3, MACHINES, TEAMS, directory, options);
        history = cluster.callOnEventLoop(() -> new QuotaHistoryChecker(cluster.store(), cluster.invariants()));
        cluster.callOnEventLoop(() -> {
            cluster.invariants().addStartListener((task, attempt) -> started(task));
            return null;
        });
        try {
            for (String name : cluster.names()) {
                cluster.start(name);
            }
            awaitReady();
            if (!MODE.isEmpty()) {
                limits("set-cohort", "branches", "--cpus-max", "80");
                limits("set", "core", "--cohort", "branches");
                limits("set", "edge", "--cohort", "branches");
            }
            long beganNanos = System.nanoTime();
            Thread troubles = new Thread(this::troubles);
            troubles.start();
            submitAll();
            double submitSeconds = (System.nanoTime() - beganNanos) / 1e9;
            troubles.join();
            awaitAllEnded();
            double seconds = (System.nanoTime() - beganNanos) / 1e9;
            cluster.throwFailure();
            checkEveryJobIsKnown();
            report(submitSeconds, seconds);
        } finally {
            cluster.close();
        }
    }

    private void started(String task) {
        Long since = submittedNanos.remove(task.substring(0, task.indexOf('/')));
        if (since != null) {
            startMicros.recordValue((System.nanoTime() - since) / 1_000);
        }
    }

    private void awaitReady() throws Exception {
        for (int i = 0; i < 200; i++) {
            int ready = 0;
            for (String name : cluster.names()) {
                ready += status("GET", "http://" + cluster.api(name) + "/ready") == 200 ? 1 : 0;
            }
            if (ready == cluster.names().size() && cluster.leader() != null) {
                return;
            }
            Thread.sleep(100);
        }
        throw new AssertionError("the controllers are not ready");
    }

    private int status(String method, String uri) throws InterruptedException {
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

    /** The operators' command, as they would type it. */
    private void limits(String... words) throws Exception {
        List<String> command = new ArrayList<>(DeployedProgram.command(word -> word));
        command.remove(command.size() - 1);
        command.add("limits");
        command.addAll(List.of(words));
        command.addAll(List.of("--config", cluster.settingsFile("n0").toString()));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor(), output);
        System.out.print("limits " + String.join(" ", words) + ": " + output);
    }

    private void troubles() {
        try {
            String leader = cluster.leader();
            String follower = cluster.names().stream()
                    .filter(name -> !name.equals(leader))
                    .findFirst()
                    .orElseThrow();
            Thread.sleep(3_000);
            cluster.freeze(follower, true);
            Thread.sleep(1_000);
            if (!MODE.isEmpty()) {
                limits("set", "core", "--cpus", "2", "--cpus-max", "10", "--over", "displace");
            }
            Thread.sleep(2_000);
            cluster.kill(leader);
            Thread.sleep(300);
            cluster.start(leader);
            Thread.sleep(4_000);
            cluster.freeze(follower, false);
            Thread.sleep(2_000);
            if (!MODE.isEmpty()) {
                limits("set-cohort", "branches", "--cpus-max", "30", "--over", "displace");
                Thread.sleep(3_000);
                limits("set-cohort", "branches", "--cpus-max", "80", "--over", "drain");
                limits("set", "core", "--cpus", "8", "--cpus-max", String.valueOf(CORE_LIMIT));
            }
        } catch (Exception failed) {
            cluster.runOnEventLoop(() -> {
                throw new AssertionError("the troubles did not come about", failed);
            });
        }
    }

    private void submitAll() throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        Semaphore pace = new Semaphore(0);
        CountDownLatch done = new CountDownLatch(SUBMISSIONS);
        for (int i = 1; i <= SUBMISSIONS; i++) {
            int number = i;
            clients.execute(() -> {
                try {
                    pace.acquire();
                    submit(number);
                } catch (Exception failed) {
                    cluster.runOnEventLoop(() -> {
                        throw new AssertionError("a client failed", failed);
                    });
                } finally {
                    done.countDown();
                }
            });
        }
        // Paced, so that the troubles fall among them and there is room to reserve now and then.
        while (done.getCount() > 0) {
            pace.release(1);
            done.await(PACE_MILLIS, TimeUnit.MILLISECONDS);
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
        // Awaited: the stand-ins may serve a controller's write before what else their loop was given to do.
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
                acceptMicros.recordValue((System.nanoTime() - sentNanos) / 1_000);
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
        for (int i = 0; i < MOST_SECONDS_TO_END * 5; i++) {
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
                MODE.isEmpty() ? "limits of settings" : "limits on record",
                SUBMISSIONS,
                seconds,
                SUBMISSIONS / submitSeconds,
                refusals.get(),
                acceptMicros.getValueAtPercentile(50) / 1e3,
                acceptMicros.getValueAtPercentile(99) / 1e3,
                startMicros.getValueAtPercentile(50) / 1e6,
                startMicros.getValueAtPercentile(99) / 1e6,
                history.reservations(),
                history.budgets(),
                history.admissions(),
                history.starts(),
                writes,
                (double) writes / SUBMISSIONS,
                requests);
        System.out.println("PASS: no overshoot, every accepted job has ended");
        assertTrue(MODE.isEmpty() || history.reservations() > 0, "controllers reserved");
    }
}
