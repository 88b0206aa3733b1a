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

/** The checker itself: it has to fail when somebody starts more than a team's limit. */
class ClusterInvariantsTest {
    private static final long TOKEN = 3;

    private final FakeClock time = new FakeClock();
    private final ClusterInvariants rules = new ClusterInvariants(
            time, List.of(new Settings.Team("capped", 0, 4, 0, 0), new Settings.Team("gpus", 0, 0, 0, 1)), 35_000_000);
    private final List<FakeWorker> workers = new ArrayList<>();

    @BeforeEach
    void twoMachines() {
        for (int i = 0; i < 2; i++) {
            workers.add(new FakeWorker(
                    time,
                    (call, done) -> {},
                    List.of("n0:80"),
                    Map.of("n0", "n0:80"),
                    new FakeCloud.RentedMachine("m-" + i, "large", "a", false),
                    "m-" + i + ":9000",
                    rules,
                    1_000_000,
                    10_000_000));
        }
        rules.jobs.put("req-000001", jobBody("req-000001", "crew", "capped", "cpus", 2.0, "beads", 3L));
        rules.jobs.put("req-000002", jobBody("req-000002", "crew", "gpus", "gpus", 1.0, "beads", 2L));
    }

    private void run(int worker, String task) {
        Map<String, Object> body = Json.of(
                "torch", TOKEN, "shift", 1, "orders", List.of(Json.of("order", "run", "bead", task, "strike", 1)));
        workers.get(worker)
                .handle(new Server.Request("POST", "/orders", Json.bytes(body)), (status, answer, later) -> {});
    }

    private void expectQuota(int worker, String task) {
        AssertionError broken = assertThrows(AssertionError.class, () -> run(worker, task));
        assertTrue(broken.getMessage().startsWith("quota: "), broken.getMessage());
    }

    @Test
    void anOvershootOfCpusIsFound() {
        run(0, "req-000001/0");
        run(1, "req-000001/1");
        expectQuota(1, "req-000001/2");
    }

    @Test
    void anOvershootOfGpusIsFound() {
        run(0, "req-000002/0");
        expectQuota(1, "req-000002/1");
    }

    @Test
    void aMachineThatHangsCountsAndOneThatIsGoneDoesNot() {
        run(0, "req-000001/0");
        run(0, "req-000001/1");
        workers.get(0).freeze(true);
        time.pass(9_000_000);
        expectQuota(1, "req-000001/2");
        time.pass(60_000_000);
        assertEquals(2, workers.get(0).presentTasks().size(), "its lease is over, and it hangs still");
        workers.get(0).kill();
        assertEquals(0, rules.runningTasks());
    }

    @Test
    void aTaskThatWaitsForItsImageIsNotThereYet() {
        rules.fetchMicros.put("req-000001", 2_000_000L);
        run(0, "req-000001/0");
        assertEquals(0, rules.runningTasks());
        time.pass(2_000_000);
        assertEquals(1, rules.runningTasks());
    }
}
