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
 * Users who submit, repeat, cancel and ask at all nodes, on the stand-ins' event loop. What they hear is held against what
 * any node told before they asked.
 */
final class SoakUsers {
    private static final long TICK_MICROS = 100_000;
    private static final long SUBMIT_TIMEOUT_MICROS = 5_000_000;
    private static final long POLL_TIMEOUT_MICROS = 2_000_000;
    private static final int MOST_TRIES = 60;
    private static final int CREATED = 201;

    private final LoopbackCluster cluster;
    private final ClusterInvariants rules;
    private final HttpClient caller;
    private final List<String> teams;
    private final Random random;
    private final int mostOpen;
    private final Set<String> accepted = new LinkedHashSet<>();
    private final Set<String> cancelAsked = new LinkedHashSet<>();
    private final Set<String> over = new LinkedHashSet<>();
    private final Set<String> endless = new LinkedHashSet<>();
    private final Map<String, Long> answeredMicros = new HashMap<>();
    private boolean submitting = true;
    private int submitted;
    private int answers;

    SoakUsers(LoopbackCluster cluster, List<Settings.Team> teams, long seed, int mostOpen) {
        this.cluster = cluster;
        this.rules = cluster.invariants();
        this.caller = cluster.client();
        this.teams = teams.stream().map(Settings.Team::name).toList();
        this.random = new Random(seed);
        this.mostOpen = mostOpen;
    }

    void begin() {
        tick();
    }

    /** No more jobs; services are cancelled, since they would never end. */
    void stopSubmitting() {
        submitting = false;
        endless.forEach(this::withdraw);
    }

    /** Cancels so many jobs that have been accepted, within a moment. */
    int cancelSome(int count, int choice) {
        List<String> open = new ArrayList<>(accepted);
        open.removeAll(over);
        int cancelled = Math.min(count, open.size());
        for (int i = 0; i < cancelled; i++) {
            withdraw(open.get((choice + i) % open.size()));
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

    /** Accepted jobs that no answer has called over yet. */
    List<String> unfinished() {
        List<String> left = new ArrayList<>(accepted);
        left.removeAll(over);
        return left;
    }

    /** When a question about the job was last answered, or 0. */
    long answeredMicros(String id) {
        return answeredMicros.getOrDefault(id, 0L);
    }

    private void tick() {
        if (submitting && accepted.size() - over.size() < mostOpen) {
            submit();
        }
        List<String> known = new ArrayList<>(accepted);
        for (int i = 0; i < 3 && !known.isEmpty(); i++) {
            String id = known.get(random.nextInt(known.size()));
            int dice = random.nextInt(60);
            if (dice == 0) {
                withdraw(id);
            } else if (dice == 1) {
                cluster.names().forEach(node -> poll(node, id));
            } else if (dice == 2) {
                submit(id, MOST_TRIES);
            } else {
                poll(node(), id);
            }
        }
        if (!submitting) {
            unfinished().forEach(id -> poll(node(), id));
        }
        cluster.time().after(submitting ? TICK_MICROS : 10 * TICK_MICROS, this::tick);
    }

    private String node() {
        return cluster.names().get(random.nextInt(cluster.names().size()));
    }

    private void submit() {
        String id = String.format("req-%06d", ++submitted);
        Map<String, Object> body = RandomJob.body(random, id, teams, false);
        if (RandomJob.drawTimes(random, rules, body, 300_000, 5_000_000, 1_500_000)) {
            endless.add(id);
        }
        rules.jobs.put(id, Json.objectOrEmpty(Json.bytes(body)));
        submit(id, MOST_TRIES);
    }

    private void submit(String id, int tries) {
        String before = rules.lastReportedState(id);
        HttpClient.Call call = new HttpClient.Call(
                cluster.api(node()),
                "POST",
                "/v1/jobs",
                Json.objectOrEmpty(Json.bytes(rules.jobs.get(id))),
                SUBMIT_TIMEOUT_MICROS);
        caller.call(
                call,
                answer -> cluster.recordFailure(() -> {
                    heard(id, before, answer);
                    if (answer.ok() || answer.status() == CREATED) {
                        accepted.add(id);
                    } else if (tries > 1 && submitting) {
                        cluster.time().after(1_000_000, () -> submit(id, tries - 1));
                    }
                }));
    }

    private void withdraw(String id) {
        if (over.contains(id)) {
            return;
        }
        cancelAsked.add(id);
        String before = rules.lastReportedState(id);
        ask(node(), "POST", "/v1/jobs/" + id + "/withdraw", SUBMIT_TIMEOUT_MICROS, answer -> {
            heard(id, before, answer);
            if (!answer.ok()) {
                cluster.time().after(1_000_000, () -> withdraw(id));
            }
        });
    }

    private void poll(String node, String id) {
        String before = rules.lastReportedState(id);
        ask(node, "GET", "/v1/jobs/" + id, POLL_TIMEOUT_MICROS, answer -> heard(id, before, answer));
    }

    private void ask(String node, String method, String path, long timeoutMicros, HttpClient.Callback done) {
        HttpClient.Call call = new HttpClient.Call(cluster.api(node), method, path, null, timeoutMicros);
        caller.call(call, answer -> cluster.recordFailure(() -> done.accept(answer)));
    }

    private void heard(String id, String before, HttpClient.Response answer) {
        if (answer.status() <= 0) {
            return;
        }
        answers++;
        if (answer.ok() || answer.status() == CREATED) {
            answeredMicros.put(id, cluster.time().nowMicros());
        }
        ApiResponse told = new ApiResponse(answer.status(), answer.body(), 0);
        rules.checkResponse(id, before, told);
        boolean isOver = "done".equals(told.state()) || "cancelled".equals(told.state());
        if (answer.ok() && isOver) {
            if ("cancelled".equals(told.state()) && !cancelAsked.contains(id)) {
                throw new AssertionError("went_back: " + id + " is called cancelled, and nobody asked for it");
            }
            over.add(id);
        }
    }
}
