package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.app.EarlierRecords.finishedTasksAsReadByProduction;
import static org.weldcourse.app.EarlierRecords.storeOpenJob;
import static org.weldcourse.app.EarlierRecords.upgradingCluster;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.http.Json;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against writes that the store rejects once it has lowered its limits on value sizes and transactions. Records
 * written under the larger limits must be split before they are written again.
 */
class LoweredStoreLimitsTest {
    /** Lowers the store's limits before the commit with this index, and counts all commits. */
    private static int[] lowerLimitsBefore(SimulatedCluster cluster, int commitIndex) {
        int[] sentCommits = new int[1];
        cluster.network.injectFaults((from, call) -> {
            if (call.path().equals("/commit") && sentCommits[0]++ == commitIndex) {
                cluster.store.limit(4, 768);
            }
            return FakeNetwork.NORMAL;
        });
        return sentCommits;
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 5, 8, 10, 13})
    void jobsFinishWhenLimitsAreLoweredBetweenCommits(int commitIndex) {
        SimulatedCluster cluster = upgradingCluster(1024, 8, new Settings.UpcomingStoreLimits(50, 768, 4));
        int[] sentCommits = lowerLimitsBefore(cluster, commitIndex);
        cluster.clock.passSeconds(2);
        for (int i = 0; i < 3; i++) {
            cluster.cloud.addUnrequested("large", i % 2 == 0 ? "a" : "b", false);
        }
        for (int i = 0; i < 300; i++) {
            cluster.runMicros.put("req-000001/" + i, 2_000_000L + 700_000L * (i % 7));
        }
        assertEquals(
                201,
                cluster.submit("n0", jobBody("req-000001", "beads", 300, "cpus", 0.5, "mem_gb", 0.5))
                        .status());
        cluster.runMicros.put("req-000002", Long.MAX_VALUE);
        assertEquals(
                201,
                cluster.submit("n1", jobBody("req-000002", "shape", "service", "rank", "prod", "expected_s", 0.0))
                        .status());
        cluster.clock.passSeconds(20);
        cluster.killNode(cluster.leader());
        assertTrue(cluster.reaches(cluster.alive().get(0), "req-000001", "done", 200));
        assertTrue(sentCommits[0] > commitIndex);
        assertEquals(
                "cancelled",
                cluster.cancel(cluster.alive().get(0), "req-000002").state());
        cluster.clock.passSeconds(8);
        assertEquals(0, cluster.runningTasks());
    }

    /** The fake store fails a test that sends a value or a transaction beyond its limits. */
    @Test
    void writesRespectLimitsLoweredBeforeEachCommit() {
        int commits = 0;
        while (runScenarioLoweringLimitsBefore(commits) > commits) {
            commits++;
        }
        assertTrue(commits > 40, "commits of the scenario: " + commits);
    }

    /**
     * Runs array jobs whose tasks end at different times, a cancellation, the loss of a machine with replicas, a
     * failover, the cancellation of a service and the removal of the remaining records. Returns the number of
     * commits.
     */
    private static int runScenarioLoweringLimitsBefore(int commitIndex) {
        SimulatedCluster cluster = upgradingCluster(1024, 8, new Settings.UpcomingStoreLimits(50, 768, 4));
        int[] sentCommits = lowerLimitsBefore(cluster, commitIndex);
        cluster.clock.passSeconds(2);
        for (int i = 0; i < 4; i++) {
            cluster.cloud.addUnrequested("large", i % 2 == 0 ? "a" : "b", false);
        }
        cluster.clock.passSeconds(6);
        for (int task = 0; task < 200; task++) {
            cluster.runMicros.put("req-000001/" + task, 2_000_000L + 900_000L * (task % 17));
        }
        submit(cluster, "req-000001", "beads", 200, "cpus", 0.5, "mem_gb", 0.5);
        cluster.runMicros.put("req-000002", Long.MAX_VALUE);
        submit(cluster, "req-000002", "shape", "service", "rank", "prod", "expected_s", 0.0, "cpus", 1.0);
        cluster.runMicros.put("req-000003", Long.MAX_VALUE);
        submit(cluster, "req-000003", "beads", 6);
        for (int job = 4; job < 9; job++) {
            cluster.runMicros.put("req-00000" + job, 3_000_000L * job);
            submit(cluster, "req-00000" + job, "beads", 2, "shape", job % 2 == 0 ? "ensemble" : "array");
        }
        cluster.clock.passSeconds(4);
        assertEquals("cancelled", cluster.cancel("n1", "req-000003").state());
        cluster.workerOf("req-000002/0").freeze(true);
        cluster.clock.passSeconds(12);
        cluster.killNode(cluster.leader());
        String node = cluster.alive().get(0);
        for (int job : new int[] {1, 4, 5, 6, 7, 8}) {
            assertTrue(
                    cluster.reaches(node, "req-00000" + job, "done", 120),
                    "job " + job + " with limits lowered before commit " + commitIndex);
        }
        for (int replica = 0; replica < 4; replica++) {
            assertTrue(cluster.workerOf("req-000002/" + replica) != null, "replica " + replica);
        }
        assertEquals("cancelled", cluster.cancel(node, "req-000002").state());
        cluster.clock.passSeconds(20);
        assertEquals(0, cluster.runningTasks());
        assertEquals(List.of(), cluster.store.keys("slices/"));
        return sentCommits[0];
    }

    private static void submit(SimulatedCluster cluster, String id, Object... changes) {
        assertEquals(201, cluster.submit("n0", jobBody(id, changes)).status());
    }

    /** The admission record of 400 running tasks exceeds the lowered limit when the first of them finish. */
    @Test
    void oversizedRecordsAreSplitOnNextWrite() {
        SimulatedCluster cluster = upgradingCluster(4096, 8, new Settings.UpcomingStoreLimits(50, 1024, 4));
        Map<String, Object> body = jobBody("req-000001", "beads", 800, "cpus", 0.1, "mem_gb", 0.1);
        cluster.addExistingJob(body, new BitSet());
        storeOpenJob(cluster, body);
        for (int i = 0; i < 2; i++) {
            cluster.cloud.addUnrequested("large", "a", false);
        }
        // Every other task, so that no two form a range: 400 tasks on two machines take some 1,700 bytes.
        StringBuilder firstMachineTasks = new StringBuilder("1:0");
        StringBuilder secondMachineTasks = new StringBuilder("1:400");
        for (int task = 2; task < 400; task += 2) {
            firstMachineTasks.append(',').append(task);
            secondMachineTasks.append(',').append(400 + task);
        }
        cluster.store.putRecord(
                "slices/req-000001/0",
                Json.of(
                        "last",
                        1,
                        "n",
                        1,
                        "machines",
                        Map.of("m-000000", firstMachineTasks.toString(), "m-000001", secondMachineTasks.toString()),
                        "bits",
                        ""));
        int storedBytes = Json.bytes(cluster.store.value("slices/req-000001/0")).length;
        assertTrue(storedBytes > 1024);
        cluster.store.limit(4, 1024);
        for (int task = 0; task < 800; task++) {
            cluster.runMicros.put("req-000001/" + task, task % 10 == 0 ? 2_000_000L : 40_000_000L);
        }
        cluster.clock.passSeconds(25);
        BitSet finished = finishedTasksAsReadByProduction(cluster, "req-000001", 800, 4096);
        assertTrue(finished.cardinality() >= 40, "finished tasks on record: " + finished.cardinality());
        cluster.killNode(cluster.leader());
        assertTrue(cluster.reaches(cluster.alive().get(0), "req-000001", "done", 300));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), "no task ran again");
    }

    /** A job accepted under the larger limit keeps its answer, although its record exceeds the next limit. */
    @Test
    void oversizedSubmissionIsRejectedUnlessJobIsKnown() {
        SimulatedCluster cluster = upgradingCluster(4096, 8, new Settings.UpcomingStoreLimits(50, 1024, 4));
        cluster.clock.passSeconds(2);
        Map<String, Object> oversized = jobBody("req-000001", "blank", "i".repeat(2_000));
        assertEquals(422, cluster.submit("n0", oversized).status());
        storeOpenJob(cluster, oversized);
        cluster.store.limit(4, 1024);
        assertEquals(200, cluster.submit("n1", oversized).status());
        assertEquals(
                "cancelled",
                cluster.cancel("n1", "req-000001").state(),
                "a known job that exceeds the limit can be cancelled");
        cluster.clock.passSeconds(5);
        assertEquals("cancelled", cluster.poll("n0", "req-000001").state());
    }
}
