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
 * Beside the version in production, and on its records. {@code production/records.json} holds what that version left in the
 * scripted state service (values of 4 KiB, 8 changes a transaction) in the middle of a day: a small array with one task
 * finished, one of 7,000 tasks, a job done and one cancelled; and a frame that it sends to its peers. To take it anew:
 * check out the commit that deploy/service.toml names, and write out {@code FakeStore} after 40 s of such a day.
 */
class UpgradeTest {
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void productionsRecordsAreTakenOver(boolean limitsLowered) throws Exception {
        SimulatedCluster world = upgradingCluster(4096, 8, new Settings.UpcomingStoreLimits(50, 2048, 4));
        Map<String, Object> records = productionRecords();
        BitSet small = BitSet.valueOf(Base64.getDecoder()
                .decode((String) Json.object(records.get("slices/req-000001/0")).get("bits")));
        BitSet large = BitSet.valueOf(Base64.getDecoder()
                .decode((String) Json.object(records.get("done/req-000002/0")).get("bits")));
        assertEquals(1, small.cardinality());
        assertTrue(large.cardinality() > 1000);
        world.addExistingJob(Json.object(records.get("open/req-000001")), small);
        world.addExistingJob(Json.object(records.get("open/req-000002")), large);
        storeRecords(world, records);
        if (limitsLowered) {
            world.store.limit(4, 2048);
        }
        world.runMicros.put("req-000002", 3_000_000L);
        world.clock.passSeconds(4);
        world.jobs.put("req-000003", jobBody("req-000003"));
        world.jobs.put("req-000004", jobBody("req-000004"));
        assertEquals("cancelled", world.poll("n0", "req-000004").state());
        assertEquals("running", world.poll("n1", "req-000001").state());
        assertTrue(world.reaches("n0", "req-000001", "done", 200));
        assertTrue(world.reaches("n0", "req-000002", "done", 400));
        assertEquals(
                3,
                world.starts.keySet().stream()
                        .filter(task -> task.startsWith("req-000001/"))
                        .count());
        assertFalse(
                world.starts.keySet().stream()
                        .anyMatch(task ->
                                task.startsWith("req-000002/") && large.get(Integer.parseInt(task.substring(11)))),
                "finished tasks don't run again");
        world.clock.passSeconds(30);
        assertEquals(List.of(), world.store.keys("slices/"));
        assertEquals(List.of(), world.store.keys("done/"));
    }

    /**
     * {@code version-0.2.0/records.json} was written by the first version with services, limits lowered ahead of time:
     * a service, admissions divided over two records and shards that say where they begin. See RecordCapture.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void recordsOfTheFirstVersionWithServicesAreTakenOver(boolean leaderEnds) throws Exception {
        SimulatedCluster world = upgradingCluster(4096, 8, new Settings.UpcomingStoreLimits(50, 2048, 4));
        Map<String, Object> records = loadFixture("/version-0.2.0/records.json");
        Map<String, BitSet> finished = new TreeMap<>();
        for (String id : List.of("req-000001", "req-000002", "req-000005", "req-000006")) {
            finished.put(id, finishedTasksIn(records, id));
            world.addExistingJob(Json.object(records.get("open/" + id)), finished.get(id));
            world.runMicros.put(id, 3_000_000L);
        }
        assertEquals(
                List.of(1, 6500, 0, 600),
                finished.values().stream().map(BitSet::cardinality).toList());
        world.runMicros.put("req-000005", Long.MAX_VALUE);
        storeRecords(world, records);
        world.cloud.setNextMachineNumber(100);
        world.store.limit(4, 2048);
        world.clock.passSeconds(leaderEnds ? 25 : 40);
        if (leaderEnds) {
            world.killNode(world.leader());
            world.clock.passSeconds(30);
        }
        String node = world.alive().get(0);
        assertEquals("running", world.poll(node, "req-000005").state());
        for (int replica = 0; replica < 4; replica++) {
            assertTrue(world.workerOf("req-000005/" + replica) != null, "replica " + replica + " runs again elsewhere");
        }
        for (String id : List.of("req-000001", "req-000002", "req-000006")) {
            assertTrue(world.reaches(node, id, "done", 400), id);
            long again = finished.get(id).stream()
                    .filter(task -> world.starts.containsKey(id + "/" + task))
                    .count();
            assertEquals(0, again, "finished tasks of " + id + " that ran again");
        }
        assertEquals("cancelled", world.cancel(node, "req-000005").state());
        world.clock.passSeconds(40);
        assertEquals(0, world.runningTasks());
        assertEquals(List.of(), world.store.keys("slices/"));
        assertEquals(List.of(), world.store.keys("done/"));
    }

    @Test
    void productionNeverTakesUnfinishedTasksForFinished() {
        // Jobs so large that the smaller limit moves the borders between the records of finished tasks.
        int tasks = 6_500;
        SimulatedCluster world = upgradingCluster(1024, 8, new Settings.UpcomingStoreLimits(50, 512, 4));
        world.clock.passSeconds(2);
        for (int i = 0; i < 20; i++) {
            world.cloud.addUnrequested("large", "a", false);
        }
        world.clock.passSeconds(6);
        for (int task = 0; task < tasks; task++) {
            world.runMicros.put("req-000001/" + task, task < 4_000 && task % 2 == 0 ? 1_000_000L : 50_000_000L);
        }
        world.submit("n0", jobBody("req-000001", "beads", tasks, "cpus", 0.04, "mem_gb", 0.02));
        world.clock.passSeconds(45);
        assertTrue(
                world.store.keys("done/").size() > 1, world.store.keys("done/").toString());
        BitSet read = finishedTasksAsReadByProduction(world, "req-000001", tasks, 1024);
        for (int task = read.nextSetBit(0); task >= 0; task = read.nextSetBit(task + 1)) {
            assertTrue(world.hasCompleted("req-000001/" + task), "task " + task);
        }
        // And a successor of this version reads all of it.
        world.killNode(world.leader());
        assertTrue(world.reaches(world.alive().get(0), "req-000001", "done", 400));
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), "none ran again");
    }

    /**
     * Production keeps the finished tasks of a job of this size in its admissions, as its records may be larger. Under the
     * lower limits they belong in shards, and the next admission is written without them.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 2, 6, 25})
    void finishedTasksInProductionsAdmissionsSurviveTheNextAdmissions(double leaderEndsAfter) {
        int tasks = 1_200;
        SimulatedCluster world = upgradingCluster(4096, 8, new Settings.UpcomingStoreLimits(50, 512, 4));
        Map<String, Object> body = jobBody("req-000001", "beads", tasks, "cpus", 0.1, "mem_gb", 0.1);
        BitSet finished = new BitSet();
        finished.set(0, 700);
        world.addExistingJob(body, finished);
        storeOpenJob(world, body);
        world.store.putRecord(
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
            world.cloud.addUnrequested("large", "a", false);
        }
        world.store.limit(4, 512);
        world.runMicros.put("req-000001", 20_000_000L);
        world.clock.passSeconds(leaderEndsAfter);
        world.killNode(world.nodes().get(0));
        world.clock.passSeconds(20);
        BitSet onRecord = finishedTasksAsReadByProduction(world, "req-000001", tasks, 4096);
        onRecord.and(finished);
        assertEquals(700, onRecord.cardinality(), "nothing finished is lost from the records");
        assertTrue(world.reaches("n1", "req-000001", "done", 300));
        assertEquals(tasks - 700, world.starts.size(), "what was finished before did not run again");
    }

    @Test
    void shardsOfJobsThatFitOneAreReadByProductionToo() {
        int tasks = 1_200;
        SimulatedCluster world = upgradingCluster(4096, 8, new Settings.UpcomingStoreLimits(50, 512, 4));
        world.clock.passSeconds(2);
        for (int i = 0; i < 4; i++) {
            world.cloud.addUnrequested("large", "a", false);
        }
        world.clock.passSeconds(6);
        for (int task = 0; task < tasks; task++) {
            world.runMicros.put("req-000001/" + task, task % 2 == 0 ? 1_000_000L : 50_000_000L);
        }
        world.submit("n0", jobBody("req-000001", "beads", tasks, "cpus", 0.04, "mem_gb", 0.02));
        world.clock.passSeconds(30);
        assertEquals(List.of("done/req-000001/0"), world.store.keys("done/"));
        BitSet read = finishedTasksAsReadByProduction(world, "req-000001", tasks, 4096);
        assertTrue(read.cardinality() > 300, "finished as production reads: " + read.cardinality());
        read.stream().forEach(task -> assertTrue(world.hasCompleted("req-000001/" + task), "task " + task));
    }

    @Test
    void framesAreThoseOfProduction() throws Exception {
        String hex = Json.text(Json.object(productionRecords().get("frame")), "hex");
        PeerStatus status = new PeerStatus("forge-0", 41, true, false, true);
        assertEquals(status, PeerStatus.decode(ByteBuffer.wrap(HexFormat.of().parseHex(hex))));
        ByteBuffer ours = status.encode();
        byte[] bytes = new byte[ours.remaining()];
        ours.get(bytes);
        assertEquals(hex, HexFormat.of().formatHex(bytes));
    }
}
