package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against jobs that wait for good beside machines that they may not use: random zones, types, kinds of machine and
 * gangs, single tasks that fail, a machine that fails everything, machines and leaders that are lost, and a job that keeps
 * a machine up all the time. Each job that could run is done in the end.
 */
class RandomPlacementTest {
    private static final int SEEDS = Integer.getInteger("weldcourse.placement-run-seeds", 60);
    private static final int FIRST_SEED = Integer.getInteger("weldcourse.first-placement-run-seed", 0);
    private static final String ENDLESS = "req-000001";
    private static final long FAILURE = -1;
    private static final int JOBS = 18;
    private static final int MAX_GAP_MICROS = 6_000_000;
    /** Two exclusions and backoffs, the launches between them, and the longest job. */
    private static final int MAX_END_SECONDS = 300;

    @Test
    void jobsThatCanRunAreDone() {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            new Run(seed).play();
        }
    }

    /** One random run. */
    private static final class Run {
        private final int seed;
        private final Random random;
        private final SimulatedCluster cluster = SimulatedCluster.settled(3);
        private final List<String> open = new ArrayList<>();
        private final Map<String, Integer> failuresLeft = new HashMap<>();
        private final Map<String, Integer> events = new TreeMap<>();

        Run(int seed) {
            this.seed = seed;
            this.random = new Random(seed);
        }

        void play() {
            cluster.invariants().addStartListener((task, attempt) -> drawEnd(task));
            submitEndless();
            for (int job = 0; job < JOBS; job++) {
                submit(String.format("req-%06d", 100 + job));
                disturb();
                cluster.clock.pass(random.nextInt(MAX_GAP_MICROS));
            }
            awaitDone();
        }

        private void drawEnd(String task) {
            int left = failuresLeft.getOrDefault(task, 0);
            if (left > 0) {
                failuresLeft.put(task, left - 1);
                cluster.runMicros.put(task, FAILURE);
            } else {
                cluster.runMicros.remove(task);
            }
        }

        private void submitEndless() {
            cluster.runMicros.put(ENDLESS, Long.MAX_VALUE);
            Map<String, Object> body = jobBody(ENDLESS, "beads", 1 + random.nextInt(4), "expected_s", 300.0);
            cluster.submit("n0", body);
        }

        private boolean oneIn(int n) {
            return random.nextInt(n) == 0;
        }

        private <T> T oneOf(List<T> choices) {
            return choices.get(random.nextInt(choices.size()));
        }

        private void submit(String id) {
            int tasks = 1 + random.nextInt(oneIn(3) ? 8 : 3);
            double cpus = oneOf(List.of(0.5, 1.0, 2.0, 4.0, 14.0));
            double memoryGb = oneOf(List.of(1.0, 4.0, 12.0));
            boolean needsLarge = cpus > 4;
            Map<String, Object> body = jobBody(id, "beads", tasks, "cpus", cpus, "mem_gb", memoryGb);
            body.put("shape", oneIn(4) ? "ensemble" : "array");
            body.put("rank", oneOf(List.of("urgent", "normal", "normal", "idle")));
            body.put("rigs", oneIn(3) ? List.of(needsLarge || oneIn(2) ? "large" : "small") : null);
            body.put("yard", oneIn(3) ? oneOf(List.of("a", "b")) : null);
            body.put("together", oneIn(5));
            body.put("apart", body.get("yard") == null && body.get("together").equals(false) && oneIn(5));
            body.put("loaners", !oneIn(3));
            body.put("expected_s", oneOf(List.of(1.0, 10.0, 60.0)));
            cluster.runMicros.put(id, 1_000_000L * (1 + random.nextInt(20)));
            if (oneIn(2)) {
                failuresLeft.put(id + "/" + random.nextInt(tasks), 1 + random.nextInt(2));
            }
            String node = oneOf(cluster.alive());
            assertTrue(cluster.submit(node, body).status() / 100 == 2, () -> "seed " + seed + ": " + body);
            open.add(id);
        }

        private void disturb() {
            List<FakeWorker> workers = new ArrayList<>(cluster.workers.values());
            switch (random.nextInt(12)) {
                case 0 -> machineEvent("hangs", workers, worker -> worker.freeze(true));
                case 1 -> machineEvent("fails everything", workers, worker -> worker.failTasks(true));
                case 2 -> machineEvent("is sound again", workers, worker -> worker.failTasks(false));
                case 3 -> machineEvent("is reclaimed", workers, worker -> worker.announcePreemption(5_000_000));
                case 4 -> replaceLeader();
                default -> {}
            }
        }

        private void machineEvent(String name, List<FakeWorker> workers, Consumer<FakeWorker> event) {
            if (!workers.isEmpty()) {
                events.merge(name, 1, Integer::sum);
                event.accept(oneOf(workers));
            }
        }

        private void replaceLeader() {
            String leader = cluster.leader();
            if (leader != null && cluster.alive().size() == cluster.nodes().size()) {
                events.merge("leader ends", 1, Integer::sum);
                cluster.killNode(leader);
                cluster.clock.passSeconds(3);
                cluster.startNode(leader);
            }
        }

        private void awaitDone() {
            for (int second = 0; second < MAX_END_SECONDS && !open.isEmpty(); second += 5) {
                cluster.clock.passSeconds(5);
                open.removeIf(id -> "done".equals(cluster.poll("n0", id).state()));
            }
            assertTrue(open.isEmpty(), () -> "seed " + seed + ", events " + events + ", not done: " + describeOpen());
        }

        private Map<String, Object> describeOpen() {
            Map<String, Object> described = new LinkedHashMap<>();
            open.forEach(id -> described.put(
                    Json.text(cluster.jobs.get(id), "name_id"),
                    List.of(cluster.jobs.get(id), cluster.poll("n0", id).body())));
            return described;
        }
    }
}
