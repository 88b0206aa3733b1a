package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.app.EarlierRecords.finishedTasksAsReadByProduction;
import static org.weldcourse.app.EarlierRecords.finishedTasksIn;
import static org.weldcourse.app.EarlierRecords.loadFixture;
import static org.weldcourse.app.EarlierRecords.productionRecords;
import static org.weldcourse.app.EarlierRecords.storeOpenJob;
import static org.weldcourse.app.EarlierRecords.storeRecords;
import static org.weldcourse.app.EarlierRecords.upgradingCluster;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.http.Json;
import org.weldcourse.peers.PeerStatus;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against lost or repeated work when this version takes over the records of earlier versions or runs beside the
 * production version. {@code production/records.json} holds the records that the production version wrote to the
 * simulated store (values of 4 KiB, 8 writes a transaction): a small array with one finished task, an array of 7,000
 * tasks, a finished job and a cancelled one; and a frame that it sends to its peers. To record it again, check out the
 * commit that deploy/service.toml names, and write out {@code FakeStore} after 40 s of a run with such jobs.
 */
class UpgradeTest {
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void recordsOfTheProductionVersionAreTakenOver(boolean limitsLowered) throws Exception {
        SimulatedCluster cluster = upgradingCluster(4096, 8, new Settings.UpcomingStoreLimits(50, 2048, 4));
        Map<String, Object> records = productionRecords();
        BitSet finishedOfSmallJob = BitSet.valueOf(Base64.getDecoder()
                .decode((String) Json.object(records.get("slices/req-000001/0")).get("bits")));
        BitSet finishedOfLargeJob = BitSet.valueOf(Base64.getDecoder()
                .decode((String) Json.object(records.get("done/req-000002/0")).get("bits")));
        assertEquals(1, finishedOfSmallJob.cardinality());
        assertTrue(finishedOfLargeJob.cardinality() > 1000);
        cluster.addExistingJob(Json.object(records.get("open/req-000001")), finishedOfSmallJob);
        cluster.addExistingJob(Json.object(records.get("open/req-000002")), finishedOfLargeJob);
        storeRecords(cluster, records);
        if (limitsLowered) {
            cluster.store.limit(4, 2048);
        }
        cluster.runMicros.put("req-000002", 3_000_000L);
        cluster.clock.passSeconds(4);
        cluster.jobs.put("req-000003", jobBody("req-000003"));
        cluster.jobs.put("req-000004", jobBody("req-000004"));
        assertEquals("cancelled", cluster.poll("n0", "req-000004").state());
        assertEquals("running", cluster.poll("n1", "req-000001").state());
        assertTrue(cluster.reaches("n0", "req-000001", "done", 200));
        assertTrue(cluster.reaches("n0", "req-000002", "done", 400));
        assertEquals(
                3,
                cluster.starts.keySet().stream()
                        .filter(task -> task.startsWith("req-000001/"))
                        .count());
        assertFalse(
                cluster.starts.keySet().stream()
                        .anyMatch(task -> task.startsWith("req-000002/")
                                && finishedOfLargeJob.get(Integer.parseInt(task.substring(11)))),
                "finished tasks do not run again");
        cluster.clock.passSeconds(30);
        assertEquals(List.of(), cluster.store.keys("slices/"));
        assertEquals(List.of(), cluster.store.keys("done/"));
    }

    /**
     * {@code version-0.2.0/records.json} was written by the first version with services, which already observed the
     * lower limits to come: a service, admissions split over two records, and shards that name their first task. See
     * RecordCapture.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void recordsOfTheFirstVersionWithServicesAreTakenOver(boolean leaderIsKilled) throws Exception {
        SimulatedCluster cluster = upgradingCluster(4096, 8, new Settings.UpcomingStoreLimits(50, 2048, 4));
        Map<String, Object> records = loadFixture("/version-0.2.0/records.json");
        Map<String, BitSet> finished = new TreeMap<>();
        for (String id : List.of("req-000001", "req-000002", "req-000005", "req-000006")) {
            finished.put(id, finishedTasksIn(records, id));
            cluster.addExistingJob(Json.object(records.get("open/" + id)), finished.get(id));
            cluster.runMicros.put(id, 3_000_000L);
        }
        assertEquals(
                List.of(1, 6500, 0, 600),
                finished.values().stream().map(BitSet::cardinality).toList());
        cluster.runMicros.put("req-000005", Long.MAX_VALUE);
        storeRecords(cluster, records);
        cluster.cloud.setNextMachineNumber(100);
        cluster.store.limit(4, 2048);
        cluster.clock.passSeconds(leaderIsKilled ? 25 : 40);
        if (leaderIsKilled) {
            cluster.killNode(cluster.leader());
            cluster.clock.passSeconds(30);
        }
        String node = cluster.alive().get(0);
        assertEquals("running", cluster.poll(node, "req-000005").state());
        for (int replica = 0; replica < 4; replica++) {
            assertTrue(
                    cluster.workerOf("req-000005/" + replica) != null, "replica " + replica + " runs again elsewhere");
        }
        for (String id : List.of("req-000001", "req-000002", "req-000006")) {
            assertTrue(cluster.reaches(node, id, "done", 400), id);
            long restarted = finished.get(id).stream()
                    .filter(task -> cluster.starts.containsKey(id + "/" + task))
                    .count();
            assertEquals(0, restarted, "finished tasks of " + id + " that ran again");
        }
        assertEquals("cancelled", cluster.cancel(node, "req-000005").state());
        cluster.clock.passSeconds(40);
        assertEquals(0, cluster.runningTasks());
        assertEquals(List.of(), cluster.store.keys("slices/"));
        assertEquals(List.of(), cluster.store.keys("done/"));
    }

    @Test
    void productionVersionNeverReadsUnfinishedTasksAsFinished() {
        // The job is so large that the lower limit shifts the boundaries between its shards of finished tasks.
        int tasks = 6_500;
        SimulatedCluster cluster = upgradingCluster(1024, 8, new Settings.UpcomingStoreLimits(50, 512, 4));
        cluster.clock.passSeconds(2);
        for (int i = 0; i < 20; i++) {
            cluster.cloud.addUnrequested("large", "a", false);
        }
        cluster.clock.passSeconds(6);
        for (int task = 0; task < tasks; task++) {
            cluster.runMicros.put("req-000001/" + task, task < 4_000 && task % 2 == 0 ? 1_000_000L : 50_000_000L);
        }
        cluster.submit("n0", jobBody("req-000001", "beads", tasks, "cpus", 0.04, "mem_gb", 0.02));
        cluster.clock.passSeconds(45);
        assertTrue(
                cluster.store.keys("done/").size() > 1,
                cluster.store.keys("done/").toString());
        BitSet read = finishedTasksAsReadByProduction(cluster, "req-000001", tasks, 1024);
        for (int task = read.nextSetBit(0); task >= 0; task = read.nextSetBit(task + 1)) {
            assertTrue(cluster.hasCompleted("req-000001/" + task), "task " + task);
        }
        // The next leader, of this version, reads all finished tasks.
        cluster.killNode(cluster.leader());
        assertTrue(cluster.reaches(cluster.alive().get(0), "req-000001", "done", 400));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), "no task ran again");
    }

    /**
     * The production version, whose records may be larger, keeps the finished tasks of a job of this size in its
     * admissions. Under the lower limits they move to shards, and the next admission is written without them.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 2, 6, 25})
    void finishedTasksInAdmissionsOfTheProductionVersionAreNotLost(double killAfterSeconds) {
        int tasks = 1_200;
        SimulatedCluster cluster = upgradingCluster(4096, 8, new Settings.UpcomingStoreLimits(50, 512, 4));
        Map<String, Object> body = jobBody("req-000001", "beads", tasks, "cpus", 0.1, "mem_gb", 0.1);
        BitSet finished = new BitSet();
        finished.set(0, 700);
        cluster.addExistingJob(body, finished);
        storeOpenJob(cluster, body);
        cluster.store.putRecord(
                "slices/req-000001/0",
                Json.of(
                        "last",
                        3,
                        "n",
                        7,
                        "machines",
                        Map.of(),
                        "bits",
                        Base64.getEncoder().encodeToString(finished.toByteArray())));
        for (int i = 0; i < 2; i++) {
            cluster.cloud.addUnrequested("large", "a", false);
        }
        cluster.store.limit(4, 512);
        cluster.runMicros.put("req-000001", 20_000_000L);
        cluster.clock.passSeconds(killAfterSeconds);
        cluster.killNode(cluster.nodes().get(0));
        cluster.clock.passSeconds(20);
        BitSet recorded = finishedTasksAsReadByProduction(cluster, "req-000001", tasks, 4096);
        recorded.and(finished);
        assertEquals(700, recorded.cardinality(), "the records keep every finished task");
        assertTrue(cluster.reaches("n1", "req-000001", "done", 300));
        assertEquals(tasks - 700, cluster.starts.size(), "tasks finished before did not run again");
    }

    @Test
    void productionVersionReadsSingleShards() {
        int tasks = 1_200;
        SimulatedCluster cluster = upgradingCluster(4096, 8, new Settings.UpcomingStoreLimits(50, 512, 4));
        cluster.clock.passSeconds(2);
        for (int i = 0; i < 4; i++) {
            cluster.cloud.addUnrequested("large", "a", false);
        }
        cluster.clock.passSeconds(6);
        for (int task = 0; task < tasks; task++) {
            cluster.runMicros.put("req-000001/" + task, task % 2 == 0 ? 1_000_000L : 50_000_000L);
        }
        cluster.submit("n0", jobBody("req-000001", "beads", tasks, "cpus", 0.04, "mem_gb", 0.02));
        cluster.clock.passSeconds(30);
        assertEquals(List.of("done/req-000001/0"), cluster.store.keys("done/"));
        BitSet read = finishedTasksAsReadByProduction(cluster, "req-000001", tasks, 4096);
        assertTrue(
                read.cardinality() > 300, "finished tasks as the production version reads them: " + read.cardinality());
        read.stream().forEach(task -> assertTrue(cluster.hasCompleted("req-000001/" + task), "task " + task));
    }

    @Test
    void peerStatusFramesMatchTheProductionVersion() throws Exception {
        String hex = Json.text(Json.object(productionRecords().get("frame")), "hex");
        PeerStatus status = new PeerStatus("forge-0", 41, true, false, true);
        assertEquals(status, PeerStatus.decode(ByteBuffer.wrap(HexFormat.of().parseHex(hex))));
        ByteBuffer encoded = status.encode();
        byte[] bytes = new byte[encoded.remaining()];
        encoded.get(bytes);
        assertEquals(hex, HexFormat.of().formatHex(bytes));
    }
}
