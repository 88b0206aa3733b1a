package org.weldcourse.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;
import org.weldcourse.settings.Settings;

/** Verifies that {@link ClusterInvariants} detects tasks that exceed their team's limit. */
class ClusterInvariantsTest {
    private static final long TOKEN = 3;

    private final FakeClock clock = new FakeClock();
    private final ClusterInvariants invariants = new ClusterInvariants(
            clock, List.of(new Settings.Team("capped", 0, 4, 0, 0), new Settings.Team("gpus", 0, 0, 0, 1)), 35_000_000);
    private final List<FakeWorker> workers = new ArrayList<>();

    @BeforeEach
    void createWorkers() {
        for (int i = 0; i < 2; i++) {
            workers.add(new FakeWorker(
                    clock,
                    (call, done) -> {},
                    List.of("n0:80"),
                    Map.of("n0", "n0:80"),
                    new FakeCloud.RentedMachine("m-" + i, "large", "a", false),
                    "m-" + i + ":9000",
                    invariants,
                    1_000_000,
                    10_000_000));
        }
        invariants.jobs.put("req-000001", jobBody("req-000001", "crew", "capped", "cpus", 2.0, "beads", 3L));
        invariants.jobs.put("req-000002", jobBody("req-000002", "crew", "gpus", "gpus", 1.0, "beads", 2L));
    }

    private void startTask(int worker, String task) {
        Map<String, Object> body = Json.of(
                "torch", TOKEN, "shift", 1, "orders", List.of(Json.of("order", "run", "bead", task, "strike", 1)));
        workers.get(worker)
                .handle(
                        new Server.Request("POST", "/orders", Json.bytes(body)),
                        (status, response, retryAfterSeconds) -> {});
    }

    private void expectQuotaViolation(int worker, String task) {
        AssertionError violation = assertThrows(AssertionError.class, () -> startTask(worker, task));
        assertTrue(violation.getMessage().startsWith("quota: "), violation.getMessage());
    }

    @Test
    void detectsCpusOverTheLimit() {
        startTask(0, "req-000001/0");
        startTask(1, "req-000001/1");
        expectQuotaViolation(1, "req-000001/2");
    }

    @Test
    void detectsGpusOverTheLimit() {
        startTask(0, "req-000002/0");
        expectQuotaViolation(1, "req-000002/1");
    }

    @Test
    void countsTasksOfFrozenMachinesButNotOfLostOnes() {
        startTask(0, "req-000001/0");
        startTask(0, "req-000001/1");
        workers.get(0).freeze(true);
        clock.pass(9_000_000);
        expectQuotaViolation(1, "req-000001/2");
        clock.pass(60_000_000);
        assertEquals(
                2,
                workers.get(0).presentTasks().size(),
                "a frozen machine keeps its tasks after its lease has expired");
        workers.get(0).kill();
        assertEquals(0, invariants.runningTasks());
    }

    @Test
    void doesNotCountTasksThatPullTheirImage() {
        invariants.fetchMicros.put("req-000001", 2_000_000L);
        startTask(0, "req-000001/0");
        assertEquals(0, invariants.runningTasks());
        clock.pass(2_000_000);
        assertEquals(1, invariants.runningTasks());
    }
}
