package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.SimulatedCluster;

/** What a leader rents and returns, on whole controllers. */
class AutoscalerTest {
    /** Until the workers have reported to it, a new leader sees machines of unknown size that it can't count on. */
    @Test
    void newLeaderDoesNotRentAgainForWorkThatRuns() {
        SimulatedCluster cluster = SimulatedCluster.settled(3);
        for (int job = 0; job < 8; job++) {
            String id = String.format("req-%06d", job + 1);
            cluster.runMicros.put(id, 8_000_000L);
            assertEquals(201, cluster.submit("n0", jobBody(id, "beads", 40)).status());
        }
        cluster.clock.passSeconds(14);
        int running = cluster.runningTasks();
        assertTrue(running >= 20, "running: " + running);
        int made = cluster.cloud.machinesCreated();
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(9);
        assertTrue(cluster.runningTasks() >= running / 2);
        assertTrue(cluster.cloud.machinesCreated() <= made + 2, "rented anew: " + (cluster.cloud.machinesCreated() - made));
    }
}
