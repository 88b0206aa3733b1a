package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.SimulatedCluster;

/** A new leader must not rent machines again for tasks that run already on machines it has not heard from. */
class AutoscalerTest {
    /** A new leader does not know the free capacity of a machine until that machine's first heartbeat. */
    @Test
    void newLeaderRentsNoMachinesForRunningTasks() {
        SimulatedCluster cluster = SimulatedCluster.settled(3);
        for (int job = 0; job < 8; job++) {
            String id = String.format("req-%06d", job + 1);
            cluster.runMicros.put(id, 8_000_000L);
            assertEquals(201, cluster.submit("n0", jobBody(id, "beads", 40)).status());
        }
        cluster.clock.passSeconds(14);
        int running = cluster.runningTasks();
        assertTrue(running >= 20, "running: " + running);
        int machinesBefore = cluster.cloud.machinesCreated();
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(9);
        assertTrue(cluster.runningTasks() >= running / 2);
        assertTrue(
                cluster.cloud.machinesCreated() <= machinesBefore + 2,
                "machines rented after the failover: " + (cluster.cloud.machinesCreated() - machinesBefore));
    }
}
