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

/**
 * Commits that take effect late or whose response is lost, and requests that race with them. A late commit of a former
 * leader must be fenced, and one that was overtaken must not overwrite newer records.
 */
class LateWritesTest extends FailureCombinations {
    /**
     * Four of ten commits get no response, and take effect at once or 2 to 12 s later. The writer cannot tell when.
     */
    @ParameterizedTest
    @CsvSource({"false, 1", "false, 2", "false, 3", "true, 1", "true, 2", "true, 3"})
    void jobsSurviveCommitsWithoutResponse(boolean appliedAtOnce, int seed) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        Random random = new Random(seed);
        int[] unanswered = new int[1];
        cluster.network.injectFaults((from, call) -> {
            if (!call.path().equals("/commit") || random.nextInt(10) >= 4) {
                return FakeNetwork.NORMAL;
            }
            unanswered[0]++;
            return appliedAtOnce ? FakeNetwork.RESPONSE_LOST : 2_000_000 + random.nextInt(10_000_000);
        });
        scenario.submitMixedWork();
        for (int i = 0; i < 12; i++) {
            String id = scenario.submit(1 + random.nextInt(8), "beads", 1 + random.nextInt(4));
            // Other nodes read the record while the node that wrote it still waits for the response.
            cluster.alive().forEach(node -> cluster.pollAsync(node, id));
            cluster.clock.pass(random.nextInt(2_000_000));
            if (i % 3 == 0) {
                scenario.cancel(id);
                cluster.alive().forEach(node -> cluster.pollAsync(node, id));
            }
            if (i == 7) {
                String killed = scenario.killLeader();
                cluster.clock.passSeconds(1);
                cluster.startNode(killed);
            }
        }
        assertTrue(unanswered[0] > 10, "commits without response: " + unanswered[0]);
        cluster.clock.passSeconds(20);
        cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        cluster.clock.passSeconds(13);
        scenario.assertAllJobsEnd(240);
    }

    /**
     * The admission reaches the store after the failover. Its tasks would hold free capacity that the new leader
     * assigns.
     */
    @Test
    void delayedAdmissionOfDeadLeaderIsFenced() {
        FailureScenario scenario = scenario(2);
        SimulatedCluster cluster = scenario.cluster;
        scenario.limitCloudToOneLargeMachine();
        int[] admissions = new int[1];
        cluster.network.injectFaults(
                (from, call) -> isAdmission(call) && admissions[0]++ == 0 ? 9_000_000 : FakeNetwork.NORMAL);
        scenario.submit(10);
        cluster.clock.pass(200_000);
        assertEquals(1, admissions[0]);
        scenario.killLeader();
        cluster.workers.values().forEach(worker -> worker.freeze(true));
        scenario.awaitLeader(8);
        cluster.clock.passSeconds(5);
        assertEquals(List.of(), cluster.store.keys("slices/"));
        cluster.cloud.capacity = 100;
        scenario.assertAllJobsEnd(120);
    }

    /**
     * The leader repeats an admission without a response. The first commit arrives after later ones to the same
     * record.
     */
    @Test
    void delayedCommitDoesNotOverwriteNewerOne() {
        FailureScenario scenario = scenario(2);
        SimulatedCluster cluster = scenario.cluster;
        scenario.limitCloudToOneLargeMachine();
        int[] admissions = new int[1];
        cluster.network.injectFaults(
                (from, call) -> isAdmission(call) && admissions[0]++ == 0 ? 12_000_000 : FakeNetwork.NORMAL);
        String id = scenario.submit(40, "beads", 12);
        cluster.clock.passSeconds(3);
        assertEquals(8, scenario.presentTasks(id).size());
        cluster.cloud.capacity = 2;
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.clock.passSeconds(7);
        assertEquals(
                12,
                scenario.presentTasks(id).size(),
                "a second admission is recorded before the delayed first one arrives");
        assertTrue(admissions[0] >= 3);
        cluster.clock.passSeconds(4);
        scenario.killLeader();
        scenario.awaitLeader(8);
        scenario.assertAllJobsEnd(120);
        scenario.assertEachTaskStartedOnce();
    }

    /** The job may end as done or as cancelled, but all answers must agree on which. */
    @Test
    void cancellationPollAndResubmissionRaceWithEndOfLastTask() {
        long[] endCommittedMicros = new long[1];
        Set<String> states = new HashSet<>();
        // The first run finds the time at which the end is committed; each later run cancels at an offset from it.
        for (long offsetMicros = -6_500; offsetMicros <= 5_000; offsetMicros += 500) {
            FailureScenario scenario = scenario(2);
            SimulatedCluster cluster = scenario.cluster;
            String id = scenario.submitAndAwaitRunning(8, "beads", 1);
            if (endCommittedMicros[0] == 0) {
                cluster.network.injectFaults((from, call) -> {
                    endCommittedMicros[0] =
                            isCommitTo(call, "final/") ? cluster.clock.nowMicros() : endCommittedMicros[0];
                    return FakeNetwork.NORMAL;
                });
                cluster.clock.passSeconds(15);
                assertTrue(endCommittedMicros[0] > 0);
                continue;
            }
            cluster.clock.pass(endCommittedMicros[0] + offsetMicros - cluster.clock.nowMicros());
            cluster.alive().forEach(node -> cluster.pollAsync(node, id));
            SimulatedCluster.ApiResponse answer = cluster.cancel("n1", id);
            assertEquals(200, answer.status(), "cancellation " + offsetMicros + " us from the end: " + answer);
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

    /** Polls all nodes ten times in rapid succession, and returns the number of polls. */
    private static int pollAllNodesRepeatedly(SimulatedCluster cluster, String id) {
        int polls = 0;
        for (int step = 0; step < 10; step++) {
            for (String node : cluster.alive()) {
                cluster.pollAsync(node, id);
                polls++;
            }
            cluster.clock.pass(1_000 + 700L * step);
        }
        return polls;
    }

    /**
     * Concurrent polls share a read of the store. A poll that joined a read begun before a confirmed change would
     * return stale state.
     */
    @Test
    void pollsRightAfterChangesReturnNoStaleState() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        int polls = 0;
        for (int i = 0; i < 8; i++) {
            String id = scenario.submit(3, "beads", 1);
            polls += pollAllNodesRepeatedly(cluster, id);
            assertEquals(
                    200,
                    cluster.submit(scenario.aliveNode(i), scenario.bodies.get(id))
                            .status());
            if (i % 2 == 0) {
                scenario.cancel(id);
            } else {
                assertTrue(cluster.reaches(scenario.aliveNode(i), id, "done", 60));
            }
            polls += pollAllNodesRepeatedly(cluster, id);
            cluster.alive()
                    .forEach(node -> assertEquals(
                            200, cluster.submit(node, scenario.bodies.get(id)).status()));
        }
        cluster.clock.passSeconds(3);
        assertEquals(polls, cluster.pollResponses());
        scenario.assertAllJobsEnd(30);
    }

    /**
     * Four short jobs a second, a quarter of them cancelled, while the leader loses the store for a time: their
     * records must not cost more writes than needed, nor stay in the store.
     */
    @Test
    void storeRequestsPerShortJobAreBounded() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        int writesBefore = cluster.store.writes();
        int requestsBefore = cluster.store.requests();
        String refusedNode = null;
        for (int i = 0; i < 240; i++) {
            String id = scenario.submit(3, "beads", 1, "cpus", 1.0);
            if (i % 4 == 0) {
                scenario.cancel(id);
            }
            cluster.clock.pass(250_000);
            if (i % 60 == 28) {
                refusedNode = cluster.leader();
                cluster.refuseStore(refusedNode, true);
            } else if (i % 60 == 34) {
                // The store has dropped the changes that this node missed; it must reload all records.
                cluster.store.compactHistory();
                cluster.refuseStore(refusedNode, false);
            }
        }
        cluster.clock.passSeconds(40);
        // Five writes for each job: submission, admission, two at its end, and the removal of its admission record.
        // Every fourth job takes one more, for its cancellation.
        double writes = (cluster.store.writes() - writesBefore) / 240.0;
        assertTrue(writes <= 5.25, "writes per job: " + writes);
        double requests = (cluster.store.requests() - requestsBefore) / 240.0;
        assertTrue(requests <= 12, "requests per job, including the nodes' own: " + requests);
        assertEquals(List.of(), cluster.store.keys("open/"));
        assertEquals(List.of(), cluster.store.keys("slices/"));
        writesBefore = cluster.store.writes();
        scenario.assertAllJobsEnd(10);
        // The record of the machine types is rewritten now and then.
        assertTrue(cluster.store.writes() - writesBefore <= 2, "repeated submissions of known jobs write nothing");
    }

    /** Each store request takes 350 ms more, so that a preemption and the admission after it are far apart. */
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
        int idleTasks = cluster.runningTasks();
        assertTrue(idleTasks > 0);
        String urgent = scenario.submit(8, "rank", "urgent", "shape", "ensemble", "beads", 2, "cpus", 4.0);
        cluster.clock.passSeconds(25);
        assertNotNull(cluster.starts.get(urgent + "/1"), "the urgent gang preempts work of lower priority");
        scenario.killLeader();
        scenario.awaitLeader(12);
        cluster.slowStore(0);
        scenario.assertAllJobsEnd(400);
        assertTrue(cluster.starts.get(urgent + "/0") <= 2);
    }
}
