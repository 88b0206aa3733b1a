package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.SimulatedCluster;

/** Commits that are late or unanswered, and requests that meet them. */
class LateWritesTest extends FailureCombinations {
    @ParameterizedTest
    @CsvSource({"false, 1", "false, 2", "false, 3", "true, 1", "true, 2", "true, 3"})
    void jobsSurviveCommitsWithoutResponse(boolean atOnce, int seed) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        Random random = new Random(seed);
        int[] lost = new int[1];
        cluster.network.injectFaults((from, call) -> {
            if (!call.path().equals("/commit") || random.nextInt(10) >= 4) {
                return FakeNetwork.NORMAL;
            }
            lost[0]++;
            return atOnce ? FakeNetwork.RESPONSE_LOST : 2_000_000 + random.nextInt(10_000_000);
        });
        scenario.submitMixedWork();
        for (int i = 0; i < 12; i++) {
            String id = scenario.submit(1 + random.nextInt(8), "beads", 1 + random.nextInt(4));
            // Others read what was written while its writer waits.
            cluster.alive().forEach(node -> cluster.pollAsync(node, id));
            cluster.clock.pass(random.nextInt(2_000_000));
            if (i % 3 == 0) {
                scenario.cancel(id);
                cluster.alive().forEach(node -> cluster.pollAsync(node, id));
            }
            if (i == 7) {
                String ended = scenario.killLeader();
                cluster.clock.passSeconds(1);
                cluster.startNode(ended);
            }
        }
        assertTrue(lost[0] > 10, "lost: " + lost[0]);
        cluster.clock.passSeconds(20);
        cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        cluster.clock.passSeconds(13);
        scenario.assertAllJobsEnd(240);
    }

    @Test
    void delayedAdmissionOfDeadLeaderIsFenced() {
        FailureScenario scenario = scenario(2);
        SimulatedCluster cluster = scenario.cluster;
        scenario.limitCloudToOneLargeMachine();
        int[] late = new int[1];
        cluster.network.injectFaults(
                (from, call) -> isAdmission(call) && late[0]++ == 0 ? 9_000_000 : FakeNetwork.NORMAL);
        scenario.submit(10);
        cluster.clock.pass(200_000);
        assertEquals(1, late[0]);
        scenario.killLeader();
        cluster.workers.values().forEach(worker -> worker.freeze(true));
        scenario.awaitLeader(8);
        cluster.clock.passSeconds(5);
        assertEquals(List.of(), cluster.store.keys("slices/"));
        cluster.cloud.capacity = 100;
        scenario.assertAllJobsEnd(120);
    }

    @Test
    void delayedCommitDoesNotOverwriteNewerOne() {
        FailureScenario scenario = scenario(2);
        SimulatedCluster cluster = scenario.cluster;
        scenario.limitCloudToOneLargeMachine();
        int[] late = new int[1];
        cluster.network.injectFaults(
                (from, call) -> isAdmission(call) && late[0]++ == 0 ? 12_000_000 : FakeNetwork.NORMAL);
        String id = scenario.submit(40, "beads", 12);
        cluster.clock.passSeconds(3);
        assertEquals(8, scenario.presentTasks(id).size());
        cluster.cloud.capacity = 2;
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.clock.passSeconds(7);
        assertEquals(
                12, scenario.presentTasks(id).size(), "a second admission is on record before the first comes late");
        assertTrue(late[0] >= 3);
        cluster.clock.passSeconds(4);
        scenario.killLeader();
        scenario.awaitLeader(8);
        scenario.assertAllJobsEnd(120);
        scenario.assertEachTaskStartedOnce();
    }

    @Test
    void cancellationPollAndResubmissionRaceWithEndOfLastTask() {
        long[] closedMicros = new long[1];
        Set<String> states = new HashSet<>();
        // The first day tells when the job is closed; on the others, all alike, its user cancels around that moment.
        for (long offsetMicros = -6_500; offsetMicros <= 5_000; offsetMicros += 500) {
            FailureScenario scenario = scenario(2);
            SimulatedCluster cluster = scenario.cluster;
            String id = scenario.submitAndAwaitRunning(8, "beads", 1);
            if (closedMicros[0] == 0) {
                cluster.network.injectFaults((from, call) -> {
                    closedMicros[0] = isCommitTo(call, "final/") ? cluster.clock.nowMicros() : closedMicros[0];
                    return FakeNetwork.NORMAL;
                });
                cluster.clock.passSeconds(15);
                assertTrue(closedMicros[0] > 0);
                continue;
            }
            cluster.clock.pass(closedMicros[0] + offsetMicros - cluster.clock.nowMicros());
            cluster.alive().forEach(node -> cluster.pollAsync(node, id));
            SimulatedCluster.ApiResponse answer = cluster.cancel("n1", id);
            assertEquals(200, answer.status(), "at once, " + offsetMicros + " from the end: " + answer);
            states.add(answer.state());
            if ("cancelled".equals(answer.state())) {
                scenario.cancelled.add(id);
            }
            cluster.alive().forEach(node -> cluster.pollAsync(node, id));
            assertEquals(
                    answer.state(),
                    cluster.submit("n1", scenario.bodies.get(id)).state());
            scenario.assertAllJobsEnd(30);
        }
        assertEquals(Set.of("done", "cancelled"), states);
    }

    private static int pollAllWithinMilliseconds(SimulatedCluster cluster, String id) {
        int asked = 0;
        for (int step = 0; step < 10; step++) {
            for (String node : cluster.alive()) {
                cluster.pollAsync(node, id);
                asked++;
            }
            cluster.clock.pass(1_000 + 700L * step);
        }
        return asked;
    }

    @Test
    void pollsRightAfterChangesReturnNoStaleState() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        int asked = 0;
        for (int i = 0; i < 8; i++) {
            String id = scenario.submit(3, "beads", 1);
            asked += pollAllWithinMilliseconds(cluster, id);
            assertEquals(
                    200,
                    cluster.submit(scenario.aliveNode(i), scenario.bodies.get(id))
                            .status());
            if (i % 2 == 0) {
                scenario.cancel(id);
            } else {
                assertTrue(cluster.reaches(scenario.aliveNode(i), id, "done", 60));
            }
            asked += pollAllWithinMilliseconds(cluster, id);
            cluster.alive()
                    .forEach(node -> assertEquals(
                            200, cluster.submit(node, scenario.bodies.get(id)).status()));
        }
        cluster.clock.passSeconds(3);
        assertEquals(asked, cluster.pollResponses());
        scenario.assertAllJobsEnd(30);
    }

    @Test
    void storeRequestsPerShortJobAreBounded() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        int before = cluster.store.writes();
        int requests = cluster.store.requests();
        String refused = null;
        for (int i = 0; i < 240; i++) {
            String id = scenario.submit(3, "beads", 1, "cpus", 1.0);
            if (i % 4 == 0) {
                scenario.cancel(id);
            }
            cluster.clock.pass(250_000);
            if (i % 60 == 28) {
                refused = cluster.leader();
                cluster.refuseStore(refused, true);
            } else if (i % 60 == 34) {
                // Meanwhile the changes that the state service keeps have gone by.
                cluster.store.compactHistory();
                cluster.refuseStore(refused, false);
            }
        }
        cluster.clock.passSeconds(40);
        // Accepted, admitted, two for the end, and its admission swept; a quarter were cancelled.
        double changes = (cluster.store.writes() - before) / 240.0;
        assertTrue(changes <= 5.25, "changes for each job: " + changes);
        double reads = (cluster.store.requests() - requests) / 240.0;
        assertTrue(reads <= 12, "requests for each job, the nodes' own among them: " + reads);
        assertEquals(List.of(), cluster.store.keys("open/"));
        assertEquals(List.of(), cluster.store.keys("slices/"));
        before = cluster.store.writes();
        scenario.assertAllJobsEnd(10);
        // The record of the machine types is renewed now and then.
        assertTrue(cluster.store.writes() - before <= 2, "repeated submissions of what is known cost no changes");
    }

    @Test
    void urgentGangPreemptsUnderOverloadWithSlowStore() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        cluster.cloud.capacity = 2;
        cluster.slowStore(350_000);
        for (int i = 0; i < 6; i++) {
            scenario.submit(8, "rank", "idle", "beads", 30, "cpus", 2.0);
        }
        cluster.clock.passSeconds(20);
        int idle = cluster.runningTasks();
        assertTrue(idle > 0);
        String urgent = scenario.submit(8, "rank", "urgent", "shape", "ensemble", "beads", 2, "cpus", 4.0);
        cluster.clock.passSeconds(25);
        assertNotNull(cluster.starts.get(urgent + "/1"), "work of lower priority gave way");
        scenario.killLeader();
        scenario.awaitLeader(12);
        cluster.slowStore(0);
        scenario.assertAllJobsEnd(400);
        assertTrue(cluster.starts.get(urgent + "/0") <= 2);
    }
}
