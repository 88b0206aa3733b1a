package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;
import static org.weldcourse.simulation.SimulatedCluster.settled;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against finished tasks that stay listed, wrong effects of late or duplicate heartbeats, late starts, and
 * commands too large for one message.
 */
class WorkerHeartbeatTest {
    @Test
    void workersForgetRecordedFinishedTasks() {
        SimulatedCluster cluster = settled(1);
        cluster.submit("n0", jobBody("req-000035"));
        assertTrue(cluster.reaches("n0", "req-000035", "done", 60));
        cluster.clock.passSeconds(3);
        // One finished task may stay listed: the command to forget it prompts the worker to send a heartbeat when a
        // task waits for its start.
        cluster.workers.values().forEach(worker -> assertTrue(worker.listedTasks() <= 1));
    }

    @Test
    void promptedHeartbeatAdvancesTheNextStart() {
        SimulatedCluster cluster = settled(1);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.clock.passSeconds(6);
        cluster.submit("n0", jobBody("req-000038", "beads", 1));
        assertTrue(cluster.reaches("n0", "req-000038", "done", 60));
        FakeWorker worker = cluster.workers.values().iterator().next();
        cluster.clock.passSeconds(2);
        assertEquals(1, worker.listedTasks());
        // Waits until just after a regular heartbeat, so that the next one is due a whole interval later.
        while (cluster.clock.nowMicros() - worker.lastHeartbeatMicros() > 20_000) {
            cluster.clock.pass(10_000);
        }
        cluster.submit("n0", jobBody("req-000039", "beads", 1));
        cluster.clock.pass(700_000);
        assertNotNull(cluster.workerOf("req-000039/0"));
    }

    @Test
    void lateDuplicateHeartbeatsChangeNothing() {
        SimulatedCluster cluster = settled(2);
        cluster.runMicros.put("req-000043", 50_000_000L);
        cluster.submit("n0", jobBody("req-000043"));
        assertTrue(cluster.reaches("n0", "req-000043", "running", 60));
        cluster.clock.passSeconds(2);
        FakeWorker worker = cluster.workerOf("req-000043/0");
        List<Map<String, Object>> copies = new ArrayList<>(worker.heartbeats());
        worker.freeze(true);
        cluster.clock.passSeconds(20);
        assertTrue(cluster.cloud.released.contains(worker.machine().name()));
        assertTrue(cluster.reaches("n0", "req-000043", "running", 30));
        int machines = cluster.cloud.machines().size();
        // Under the leader that released the machine, and under one that never knew it.
        for (int term = 0; term < 2; term++) {
            for (Map<String, Object> copy : copies) {
                cluster.request(cluster.leader(), "POST", "/checkin", Json.bytes(copy));
                cluster.clock.pass(100_000);
            }
            if (term == 0) {
                cluster.killNode(cluster.leader());
                cluster.clock.passSeconds(6);
            }
        }
        assertTrue(cluster.reaches(cluster.leader(), "req-000043", "done", 90));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count <= 2), cluster.starts.toString());
        assertTrue(cluster.cloud.machines().size() <= machines);
    }

    @Test
    void commandsForManyTasksAreSplit() {
        SimulatedCluster cluster = settled(1);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.clock.passSeconds(7);
        cluster.submit("n0", jobBody("req-000045", "beads", 1600, "cpus", 0.01, "mem_gb", 0.01));
        assertTrue(cluster.reaches("n0", "req-000045", "done", 120));
        assertEquals(1600, cluster.starts.size());
    }

    @Test
    void lateLeaderPromptsNoHeartbeats() {
        // Prompting a heartbeat advances a start by one heartbeat interval at most and costs as much as answering a
        // heartbeat, so that a leader that runs late omits it.
        int[] prompts = new int[2];
        for (int late = 0; late < 2; late++) {
            SimulatedCluster cluster = settled(1);
            cluster.cloud.addUnrequested("large", "a", false);
            cluster.cloud.capacity = 1;
            cluster.clock.passSeconds(6);
            cluster.submit("n0", jobBody("req-000056", "beads", 1));
            assertTrue(cluster.reaches("n0", "req-000056", "done", 60));
            cluster.clock.passSeconds(2);
            FakeWorker worker = cluster.workers.values().iterator().next();
            cluster.submit("n0", jobBody("req-000057", "beads", 1));
            int before = worker.directCommands();
            for (int i = 0; i < 8; i++) {
                if (late == 1) {
                    cluster.pauseNode("n0");
                }
                cluster.clock.pass(120_000);
                cluster.resumeNode("n0");
            }
            prompts[late] = worker.directCommands() - before;
            assertTrue(cluster.reaches("n0", "req-000057", "done", 60));
        }
        assertEquals(1, prompts[0]);
        assertEquals(0, prompts[1]);
    }
}
