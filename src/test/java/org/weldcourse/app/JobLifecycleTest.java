package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;
import static org.weldcourse.simulation.SimulatedCluster.settled;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Server;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * The answers that users get about their jobs, from submission to the end. The simulated cluster fails a test in which
 * an answer contradicts an earlier one or a task runs that must not.
 */
class JobLifecycleTest {
    @Test
    void arrayJobRunsEachTaskOnceAndStaysDone() {
        SimulatedCluster cluster = settled(3);
        assertEquals(201, cluster.submit("n0", jobBody("req-000001")).status());
        assertTrue(cluster.reaches("n1", "req-000001", "done", 60));
        assertEquals(4, cluster.starts.size());
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1));
        SimulatedCluster.ApiResponse repeated = cluster.submit("n2", jobBody("req-000001"));
        assertEquals(200, repeated.status());
        assertEquals("done", repeated.state());
        assertEquals(List.of(), cluster.store.keys("open/"));
        assertEquals(List.of(), cluster.store.keys("slices/"));
    }

    @Test
    void unsatisfiableOrMalformedSubmissionIsRejected() {
        SimulatedCluster cluster = settled(1);
        assertEquals(
                422,
                cluster.submit("n0", jobBody("req-000006", "crew", "nobody")).status());
        assertEquals(
                422, cluster.submit("n0", jobBody("req-000007", "cpus", 17.0)).status());
        assertEquals(
                422,
                cluster.submit("n0", jobBody("req-000008", "crew", "capped", "shape", "ensemble", "beads", 5))
                        .status());
        assertEquals(
                400, cluster.submit("n0", jobBody("req-000009", "beads", 0)).status());
        assertEquals(
                400, cluster.request("n0", "POST", "/v1/jobs", "[1]".getBytes()).status());
        assertEquals(
                400, cluster.request("n0", "POST", "/v1/jobs", "{".getBytes()).status());
        assertEquals(404, cluster.poll("n0", "req-000006").status());
        assertEquals(404, cluster.poll("n0", "no-such-form").status());
        assertEquals(404, cluster.cancel("n0", "req-000006").status());
    }

    @Test
    void submissionFailsFastDuringStoreOutage() {
        SimulatedCluster cluster = settled(1);
        cluster.store.down(true);
        long submittedMicros = cluster.clock.nowMicros();
        SimulatedCluster.ApiResponse answer = cluster.submit("n0", jobBody("req-000010"));
        assertEquals(503, answer.status());
        assertTrue(answer.retryAfterSeconds() > 0);
        assertTrue(cluster.clock.nowMicros() - submittedMicros < 100_000);
    }

    @Test
    void jobWithLostCommitResponseIsAcceptedOnce() {
        SimulatedCluster cluster = settled(1);
        cluster.loseResponses("n0", true);
        Map<String, Object> job = jobBody("req-000011");
        SimulatedCluster.ApiResponse unconfirmed = cluster.submit("n0", job);
        assertNotEquals(404, unconfirmed.status());
        cluster.loseResponses("n0", false);
        cluster.clock.passSeconds(10);
        // The commit took effect although its response was lost: a repeated submission finds the job, and it runs once.
        assertEquals(200, cluster.submit("n0", job).status());
        assertTrue(cluster.reaches("n0", "req-000011", "done", 90));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1));
    }

    @Test
    void cancelledJobStopsOnAllMachinesAndStaysCancelled() {
        SimulatedCluster cluster = settled(3);
        cluster.runMicros.put("req-000012", Long.MAX_VALUE);
        cluster.submit("n0", jobBody("req-000012"));
        assertTrue(cluster.reaches("n0", "req-000012", "running", 60));
        cluster.clock.passSeconds(5);
        assertEquals("cancelled", cluster.cancel("n1", "req-000012").state());
        cluster.clock.passSeconds(5);
        assertEquals(0, cluster.runningTasks());
        assertEquals("cancelled", cluster.poll("n2", "req-000012").state());
        assertEquals("cancelled", cluster.cancel("n0", "req-000012").state());
        assertNotNull(cluster.store.value("final/req-000012"));
    }

    @Test
    void cancellingFinishedJobReportsDone() {
        SimulatedCluster cluster = settled(1);
        cluster.submit("n0", jobBody("req-000013"));
        assertTrue(cluster.reaches("n0", "req-000013", "done", 60));
        assertEquals("done", cluster.cancel("n0", "req-000013").state());
        assertEquals("done", cluster.poll("n0", "req-000013").state());
    }

    @Test
    void alwaysFailingJobIsRetriedWithBackoff() {
        SimulatedCluster cluster = settled(1);
        cluster.runMicros.put("req-000031", -1L);
        cluster.submit("n0", jobBody("req-000031", "beads", 1));
        cluster.clock.passSeconds(120);
        assertTrue(cluster.starts.get("req-000031/0") < 20, cluster.starts.toString());
        assertEquals("cancelled", cluster.cancel("n0", "req-000031").state());
        cluster.clock.passSeconds(3);
        assertNotNull(cluster.store.value("final/req-000031"));
    }

    @Test
    void serviceRunsUntilCancelled() {
        SimulatedCluster cluster = settled(1);
        cluster.submit("n0", jobBody("req-000034", "shape", "service", "beads", 2, "expected_s", 0.0));
        assertTrue(cluster.reaches("n0", "req-000034", "running", 60));
        cluster.clock.passSeconds(60);
        assertNotEquals("done", cluster.poll("n0", "req-000034").state());
        assertEquals("cancelled", cluster.cancel("n0", "req-000034").state());
        cluster.clock.passSeconds(5);
        assertEquals(0, cluster.runningTasks());
    }

    @Test
    void pollsShareOneReadAndReturnNoStaleState() {
        SimulatedCluster cluster = settled(2);
        cluster.cloud.capacity = 0;
        for (int i = 0; i < 40; i++) {
            assertEquals(
                    201,
                    cluster.submit("n0", jobBody(String.format("req-%06d", 500 + i)))
                            .status());
        }
        // A submission or cancellation confirmed by one node is visible on the other at once.
        assertEquals("queued", cluster.poll("n1", "req-000539").state());
        assertEquals("cancelled", cluster.cancel("n0", "req-000520").state());
        assertEquals("cancelled", cluster.poll("n1", "req-000520").state());
        int requestsBefore = cluster.store.requests();
        int[] answered = new int[1];
        for (int i = 0; i < 40; i++) {
            cluster.controller("n1")
                    .requestHandler()
                    .handle(
                            new Server.Request("GET", "/v1/jobs/req-" + String.format("%06d", 500 + i), new byte[0]),
                            (status, body, retry) -> answered[0] += status == 200 ? 1 : 0);
        }
        cluster.clock.passSeconds(1);
        assertEquals(40, answered[0]);
        // The other requests are the nodes' own, such as lease renewals and watches.
        assertTrue(
                cluster.store.requests() - requestsBefore < 16,
                "requests: " + (cluster.store.requests() - requestsBefore));
    }

    @Test
    void nodeReloadsAllRecordsWhenStoreHistoryIsGone() {
        SimulatedCluster cluster = settled(2);
        cluster.cloud.capacity = 0;
        cluster.submit("n0", jobBody("req-000046"));
        assertEquals("queued", cluster.poll("n1", "req-000046").state());
        cluster.submit("n0", jobBody("req-000047"));
        cluster.cancel("n0", "req-000046");
        cluster.store.compactHistory();
        assertEquals("cancelled", cluster.poll("n1", "req-000046").state());
        assertEquals("queued", cluster.poll("n1", "req-000047").state());
        assertEquals(404, cluster.poll("n1", "req-000048").status());
        cluster.cloud.capacity = 100;
        assertTrue(cluster.reaches("n1", "req-000047", "done", 90));
    }

    @Test
    void pollsAreAnsweredAfterCombinedFailures() {
        SimulatedCluster cluster = settled(3);
        for (int i = 0; i < 12; i++) {
            assertEquals(
                    201,
                    cluster.submit("n" + i % 3, jobBody(String.format("req-%06d", 700 + i)))
                            .status());
        }
        cluster.cancel("n1", "req-000705");
        // Four failures overlap: the leader is cut off, the store is down, all controllers restart, and the store drops
        // its history.
        cluster.cutFromStore(cluster.leader());
        cluster.clock.passSeconds(5);
        cluster.store.down(true);
        cluster.clock.passSeconds(10);
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.killNode(node);
            cluster.startNode(node);
        }
        cluster.clock.passSeconds(5);
        cluster.store.down(false);
        cluster.store.compactHistory();
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.healStoreLink(node);
        }
        cluster.clock.passSeconds(5);
        for (int i = 0; i < 12; i++) {
            SimulatedCluster.ApiResponse answer = cluster.poll("n" + (i + 1) % 3, String.format("req-%06d", 700 + i));
            assertEquals(200, answer.status());
            assertEquals(i == 5, "cancelled".equals(answer.state()));
        }
        for (int i = 0; i < 12; i++) {
            assertTrue(i == 5 || cluster.reaches("n0", String.format("req-%06d", 700 + i), "done", 120));
        }
    }
}
