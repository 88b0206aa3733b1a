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

/** What users are told of their jobs, from submission to the end. The world fails a test in which a rule of the protocol breaks. */
class JobLifecycleTest {
    @Test
    void arrayRunsEveryTaskOnceAndStaysDone() {
        SimulatedCluster world = settled(3);
        assertEquals(201, world.submit("n0", jobBody("req-000001")).status());
        assertTrue(world.reaches("n1", "req-000001", "done", 60));
        assertEquals(4, world.starts.size());
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1));
        SimulatedCluster.ApiResponse again = world.submit("n2", jobBody("req-000001"));
        assertEquals(200, again.status());
        assertEquals("done", again.state());
        assertEquals(List.of(), world.store.keys("open/"));
        assertEquals(List.of(), world.store.keys("slices/"));
    }

    @Test
    void refusesWhatCanNeverRunAndWhatIsMalformed() {
        SimulatedCluster world = settled(1);
        assertEquals(
                422, world.submit("n0", jobBody("req-000006", "crew", "nobody")).status());
        assertEquals(
                422, world.submit("n0", jobBody("req-000007", "cpus", 17.0)).status());
        assertEquals(
                422,
                world.submit("n0", jobBody("req-000008", "crew", "capped", "shape", "ensemble", "beads", 5))
                        .status());
        assertEquals(400, world.submit("n0", jobBody("req-000009", "beads", 0)).status());
        assertEquals(
                400, world.request("n0", "POST", "/v1/jobs", "[1]".getBytes()).status());
        assertEquals(
                400, world.request("n0", "POST", "/v1/jobs", "{".getBytes()).status());
        assertEquals(404, world.poll("n0", "req-000006").status());
        assertEquals(404, world.poll("n0", "no-such-form").status());
        assertEquals(404, world.cancel("n0", "req-000006").status());
    }

    @Test
    void submissionIsRefusedAtOnceDuringAStoreOutage() {
        SimulatedCluster world = settled(1);
        world.store.down(true);
        long beforeMicros = world.clock.nowMicros();
        SimulatedCluster.ApiResponse answer = world.submit("n0", jobBody("req-000010"));
        assertEquals(503, answer.status());
        assertTrue(answer.retryAfterSeconds() > 0);
        assertTrue(world.clock.nowMicros() - beforeMicros < 100_000);
    }

    @Test
    void lostCommitAnswerIsReadBackNotGuessed() {
        SimulatedCluster world = settled(1);
        world.loseResponses("n0", true);
        Map<String, Object> job = jobBody("req-000011");
        SimulatedCluster.ApiResponse lost = world.submit("n0", job);
        assertNotEquals(404, lost.status());
        world.loseResponses("n0", false);
        world.clock.passSeconds(10);
        // Carried out although nobody heard so: a repeat finds it and it runs once.
        assertEquals(200, world.submit("n0", job).status());
        assertTrue(world.reaches("n0", "req-000011", "done", 90));
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1));
    }

    @Test
    void cancelledJobLeavesEveryMachineAndStaysCancelled() {
        SimulatedCluster world = settled(3);
        world.runMicros.put("req-000012", Long.MAX_VALUE);
        world.submit("n0", jobBody("req-000012"));
        assertTrue(world.reaches("n0", "req-000012", "running", 60));
        world.clock.passSeconds(5);
        assertEquals("cancelled", world.cancel("n1", "req-000012").state());
        world.clock.passSeconds(5);
        assertEquals(0, world.runningTasks());
        assertEquals("cancelled", world.poll("n2", "req-000012").state());
        assertEquals("cancelled", world.cancel("n0", "req-000012").state());
        assertNotNull(world.store.value("final/req-000012"));
    }

    @Test
    void cancelAfterTheEndSaysDone() {
        SimulatedCluster world = settled(1);
        world.submit("n0", jobBody("req-000013"));
        assertTrue(world.reaches("n0", "req-000013", "done", 60));
        assertEquals("done", world.cancel("n0", "req-000013").state());
        assertEquals("done", world.poll("n0", "req-000013").state());
    }

    @Test
    void jobThatFailsEverywhereDoesNotSpin() {
        SimulatedCluster world = settled(1);
        world.runMicros.put("req-000031", -1L);
        world.submit("n0", jobBody("req-000031", "beads", 1));
        world.clock.passSeconds(120);
        assertTrue(world.starts.get("req-000031/0") < 20, world.starts.toString());
        assertEquals("cancelled", world.cancel("n0", "req-000031").state());
        world.clock.passSeconds(3);
        assertNotNull(world.store.value("final/req-000031"));
    }

    @Test
    void serviceRunsUntilItsUserEndsIt() {
        SimulatedCluster world = settled(1);
        world.submit("n0", jobBody("req-000034", "shape", "service", "beads", 2, "expected_s", 0.0));
        assertTrue(world.reaches("n0", "req-000034", "running", 60));
        world.clock.passSeconds(60);
        assertNotEquals("done", world.poll("n0", "req-000034").state());
        assertEquals("cancelled", world.cancel("n0", "req-000034").state());
        world.clock.passSeconds(5);
        assertEquals(0, world.runningTasks());
    }

    @Test
    void pollsShareOneReadAndAreNeverOlderThanTheQuestion() {
        SimulatedCluster world = settled(2);
        world.cloud.capacity = 0;
        for (int i = 0; i < 40; i++) {
            assertEquals(
                    201,
                    world.submit("n0", jobBody(String.format("req-%06d", 500 + i)))
                            .status());
        }
        // What one node accepted or was told to cancel, another knows at once.
        assertEquals("queued", world.poll("n1", "req-000539").state());
        assertEquals("cancelled", world.cancel("n0", "req-000520").state());
        assertEquals("cancelled", world.poll("n1", "req-000520").state());
        int before = world.store.requests();
        int[] answered = new int[1];
        for (int i = 0; i < 40; i++) {
            world.controller("n1")
                    .requestHandler()
                    .handle(
                            new Server.Request("GET", "/v1/jobs/req-" + String.format("%06d", 500 + i), new byte[0]),
                            (status, body, retry) -> answered[0] += status == 200 ? 1 : 0);
        }
        world.clock.passSeconds(1);
        assertEquals(40, answered[0]);
        // The rest are the nodes' own: renewals, pulses and the like.
        assertTrue(world.store.requests() - before < 16, "requests: " + (world.store.requests() - before));
    }

    @Test
    void nodeThatFellTooFarBehindReadsAllAgain() {
        SimulatedCluster world = settled(2);
        world.cloud.capacity = 0;
        world.submit("n0", jobBody("req-000046"));
        assertEquals("queued", world.poll("n1", "req-000046").state());
        world.submit("n0", jobBody("req-000047"));
        world.cancel("n0", "req-000046");
        world.store.compactHistory();
        assertEquals("cancelled", world.poll("n1", "req-000046").state());
        assertEquals("queued", world.poll("n1", "req-000047").state());
        assertEquals(404, world.poll("n1", "req-000048").status());
        world.cloud.capacity = 100;
        assertTrue(world.reaches("n1", "req-000047", "done", 90));
    }

    @Test
    void everyQuestionIsAnsweredSoonAfterAllTroubles() {
        SimulatedCluster world = settled(3);
        for (int i = 0; i < 12; i++) {
            assertEquals(
                    201,
                    world.submit("n" + i % 3, jobBody(String.format("req-%06d", 700 + i)))
                            .status());
        }
        world.cancel("n1", "req-000705");
        // Together: the state service is down, a leader is cut off, all processes end, and changes are forgotten.
        world.cutFromStore(world.leader());
        world.clock.passSeconds(5);
        world.store.down(true);
        world.clock.passSeconds(10);
        for (String node : List.of("n0", "n1", "n2")) {
            world.killNode(node);
            world.startNode(node);
        }
        world.clock.passSeconds(5);
        world.store.down(false);
        world.store.compactHistory();
        for (String node : List.of("n0", "n1", "n2")) {
            world.healStoreLink(node);
        }
        world.clock.passSeconds(5);
        for (int i = 0; i < 12; i++) {
            SimulatedCluster.ApiResponse answer = world.poll("n" + (i + 1) % 3, String.format("req-%06d", 700 + i));
            assertEquals(200, answer.status());
            assertEquals(i == 5, "cancelled".equals(answer.state()));
        }
        for (int i = 0; i < 12; i++) {
            assertTrue(i == 5 || world.reaches("n0", String.format("req-%06d", 700 + i), "done", 120));
        }
    }
}
