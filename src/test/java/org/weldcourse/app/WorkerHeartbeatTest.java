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

/** What workers report, and the orders that they are answered with. */
class WorkerHeartbeatTest {
    @Test
    void workersForgetWhatIsOnRecord() {
        SimulatedCluster world = settled(1);
        world.submit("n0", jobBody("req-000035"));
        assertTrue(world.reaches("n0", "req-000035", "done", 60));
        world.clock.passSeconds(3);
        // One finished task may stay listed: forgetting it is what makes the worker report when something waits.
        world.workers.values().forEach(worker -> assertTrue(worker.listedTasks() <= 1));
    }

    @Test
    void promptedHeartbeatBringsTheNextStartForward() {
        SimulatedCluster world = settled(1);
        world.cloud.addUnrequested("large", "a", false);
        world.cloud.capacity = 1;
        world.clock.passSeconds(6);
        world.submit("n0", jobBody("req-000038", "beads", 1));
        assertTrue(world.reaches("n0", "req-000038", "done", 60));
        FakeWorker worker = world.workers.values().iterator().next();
        world.clock.passSeconds(2);
        assertEquals(1, worker.listedTasks());
        // Just after a regular report, so that the next one would come a whole interval later.
        while (world.clock.nowMicros() - worker.lastHeartbeatMicros() > 20_000) {
            world.clock.pass(10_000);
        }
        world.submit("n0", jobBody("req-000039", "beads", 1));
        world.clock.pass(700_000);
        assertNotNull(world.workerOf("req-000039/0"));
    }

    @Test
    void lateDuplicateHeartbeatsChangeNothing() {
        SimulatedCluster world = settled(2);
        world.runMicros.put("req-000043", 50_000_000L);
        world.submit("n0", jobBody("req-000043"));
        assertTrue(world.reaches("n0", "req-000043", "running", 60));
        world.clock.passSeconds(2);
        FakeWorker worker = world.workerOf("req-000043/0");
        List<Map<String, Object>> copies = new ArrayList<>(worker.heartbeats());
        worker.freeze(true);
        world.clock.passSeconds(20);
        assertTrue(world.cloud.released.contains(worker.machine().name()));
        assertTrue(world.reaches("n0", "req-000043", "running", 30));
        int machines = world.cloud.machines().size();
        // Under the leader that returned the machine, and under one that never knew it.
        for (int term = 0; term < 2; term++) {
            for (Map<String, Object> copy : copies) {
                world.request(world.leader(), "POST", "/checkin", Json.bytes(copy));
                world.clock.pass(100_000);
            }
            if (term == 0) {
                world.killNode(world.leader());
                world.clock.passSeconds(6);
            }
        }
        assertTrue(world.reaches(world.leader(), "req-000043", "done", 90));
        assertTrue(world.starts.values().stream().allMatch(count -> count <= 2), world.starts.toString());
        assertTrue(world.cloud.machines().size() <= machines);
    }

    @Test
    void ordersForManyTasksAreSplit() {
        SimulatedCluster world = settled(1);
        world.cloud.addUnrequested("large", "a", false);
        world.cloud.capacity = 1;
        world.clock.passSeconds(7);
        world.submit("n0", jobBody("req-000045", "beads", 1600, "cpus", 0.01, "mem_gb", 0.01));
        assertTrue(world.reaches("n0", "req-000045", "done", 120));
        assertEquals(1600, world.starts.size());
    }

    @Test
    void lateLeaderPromptsNoHeartbeats() {
        // Ringing brings starts forward by a report at most, and costs as much as answering one.
        int[] rung = new int[2];
        for (int late = 0; late < 2; late++) {
            SimulatedCluster world = settled(1);
            world.cloud.addUnrequested("large", "a", false);
            world.cloud.capacity = 1;
            world.clock.passSeconds(6);
            world.submit("n0", jobBody("req-000056", "beads", 1));
            assertTrue(world.reaches("n0", "req-000056", "done", 60));
            world.clock.passSeconds(2);
            FakeWorker worker = world.workers.values().iterator().next();
            world.submit("n0", jobBody("req-000057", "beads", 1));
            int before = worker.directCommands();
            for (int i = 0; i < 8; i++) {
                if (late == 1) {
                    world.pauseNode("n0");
                }
                world.clock.pass(120_000);
                world.resumeNode("n0");
            }
            rung[late] = worker.directCommands() - before;
            assertTrue(world.reaches("n0", "req-000057", "done", 60));
        }
        assertEquals(1, rung[0]);
        assertEquals(0, rung[1]);
    }
}
