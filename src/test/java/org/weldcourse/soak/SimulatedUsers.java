package org.weldcourse.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.ClusterInvariants;
import org.weldcourse.simulation.LoopbackCluster;
import org.weldcourse.simulation.RandomJob;
import org.weldcourse.simulation.SimulatedCluster.ApiResponse;

/**
 * Users who submit, resubmit, poll and cancel jobs at all controllers, on the event loop of the fakes. Each answer is
 * checked against the answers that any controller gave before the request was sent.
 */
final class SimulatedUsers {
    private static final long TICK_MICROS = 100_000;
    private static final long SUBMIT_TIMEOUT_MICROS = 5_000_000;
    private static final long POLL_TIMEOUT_MICROS = 2_000_000;
    private static final int MAX_SUBMIT_ATTEMPTS = 60;
    private static final int CREATED = 201;

    private final LoopbackCluster cluster;
    private final ClusterInvariants invariants;
    private final HttpClient caller;
    private final List<String> teams;
    private final Random random;
    private final int maxOpenJobs;
    private final Set<String> accepted = new LinkedHashSet<>();
    private final Set<String> cancelRequested = new LinkedHashSet<>();
    private final Set<String> finished = new LinkedHashSet<>();
    private final Set<String> services = new LinkedHashSet<>();
    private final Map<String, Long> lastAnswerMicros = new HashMap<>();
    private boolean submitting = true;
    private int submitted;
    private int answers;

    SimulatedUsers(LoopbackCluster cluster, List<Settings.Team> teams, long seed, int maxOpenJobs) {
        this.cluster = cluster;
        this.invariants = cluster.invariants();
        this.caller = cluster.client();
        this.teams = teams.stream().map(Settings.Team::name).toList();
        this.random = new Random(seed);
        this.maxOpenJobs = maxOpenJobs;
    }

    void start() {
        tick();
    }

    /** Stops submitting jobs and cancels the services, which would never end by themselves. */
    void stopSubmitting() {
        submitting = false;
        services.forEach(this::cancel);
    }

    /** Cancels up to {@code count} unfinished jobs at once, and returns the number of cancelled jobs. */
    int cancelOpenJobs(int count, int selector) {
        List<String> open = new ArrayList<>(accepted);
        open.removeAll(finished);
        int cancelled = Math.min(count, open.size());
        for (int i = 0; i < cancelled; i++) {
            cancel(open.get((selector + i) % open.size()));
        }
        return cancelled;
    }

    int submitted() {
        return submitted;
    }

    int answers() {
        return answers;
    }

    Set<String> accepted() {
        return accepted;
    }

    /** Returns the accepted jobs that no answer has reported as done or cancelled yet. */
    List<String> unfinished() {
        List<String> unfinished = new ArrayList<>(accepted);
        unfinished.removeAll(finished);
        return unfinished;
    }

    /** Returns when a request about the job was last answered, or 0. */
    long lastAnswerMicros(String id) {
        return lastAnswerMicros.getOrDefault(id, 0L);
    }

    private void tick() {
        if (submitting && accepted.size() - finished.size() < maxOpenJobs) {
            submit();
        }
        List<String> known = new ArrayList<>(accepted);
        for (int i = 0; i < 3 && !known.isEmpty(); i++) {
            String id = known.get(random.nextInt(known.size()));
            int actionDraw = random.nextInt(60);
            if (actionDraw == 0) {
                cancel(id);
            } else if (actionDraw == 1) {
                cluster.names().forEach(node -> poll(node, id));
            } else if (actionDraw == 2) {
                submit(id, MAX_SUBMIT_ATTEMPTS);
            } else {
                poll(randomNode(), id);
            }
        }
        if (!submitting) {
            unfinished().forEach(id -> poll(randomNode(), id));
        }
        cluster.clock().after(submitting ? TICK_MICROS : 10 * TICK_MICROS, this::tick);
    }

    private String randomNode() {
        return cluster.names().get(random.nextInt(cluster.names().size()));
    }

    private void submit() {
        String id = String.format("req-%06d", ++submitted);
        Map<String, Object> body = RandomJob.body(random, id, teams, false);
        if (RandomJob.drawTimes(random, invariants, body, 300_000, 5_000_000, 1_500_000)) {
            services.add(id);
        }
        invariants.jobs.put(id, Json.objectOrEmpty(Json.bytes(body)));
        submit(id, MAX_SUBMIT_ATTEMPTS);
    }

    private void submit(String id, int attemptsLeft) {
        String knownState = invariants.lastReportedState(id);
        HttpClient.Call call = new HttpClient.Call(
                cluster.api(randomNode()),
                "POST",
                "/v1/jobs",
                Json.objectOrEmpty(Json.bytes(invariants.jobs.get(id))),
                SUBMIT_TIMEOUT_MICROS);
        caller.call(
                call,
                answer -> cluster.runRecordingFailure(() -> {
                    handleAnswer(id, knownState, answer);
                    if (answer.ok() || answer.status() == CREATED) {
                        accepted.add(id);
                    } else if (attemptsLeft > 1 && submitting) {
                        cluster.clock().after(1_000_000, () -> submit(id, attemptsLeft - 1));
                    }
                }));
    }

    private void cancel(String id) {
        if (finished.contains(id)) {
            return;
        }
        cancelRequested.add(id);
        String knownState = invariants.lastReportedState(id);
        send(randomNode(), "POST", "/v1/jobs/" + id + "/withdraw", SUBMIT_TIMEOUT_MICROS, answer -> {
            handleAnswer(id, knownState, answer);
            if (!answer.ok()) {
                cluster.clock().after(1_000_000, () -> cancel(id));
            }
        });
    }

    private void poll(String node, String id) {
        String knownState = invariants.lastReportedState(id);
        send(node, "GET", "/v1/jobs/" + id, POLL_TIMEOUT_MICROS, answer -> handleAnswer(id, knownState, answer));
    }

    private void send(String node, String method, String path, long timeoutMicros, HttpClient.Callback done) {
        HttpClient.Call call = new HttpClient.Call(cluster.api(node), method, path, null, timeoutMicros);
        caller.call(call, answer -> cluster.runRecordingFailure(() -> done.accept(answer)));
    }

    private void handleAnswer(String id, String knownState, HttpClient.Response answer) {
        if (answer.status() <= 0) {
            return;
        }
        answers++;
        if (answer.ok() || answer.status() == CREATED) {
            lastAnswerMicros.put(id, cluster.clock().nowMicros());
        }
        ApiResponse jobAnswer = new ApiResponse(answer.status(), answer.body(), 0);
        invariants.checkResponse(id, knownState, jobAnswer);
        boolean isFinished = "done".equals(jobAnswer.state()) || "cancelled".equals(jobAnswer.state());
        if (answer.ok() && isFinished) {
            if ("cancelled".equals(jobAnswer.state()) && !cancelRequested.contains(id)) {
                throw new AssertionError("job " + id + " is reported as cancelled, but no user cancelled it");
            }
            finished.add(id);
        }
    }
}
