package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against a job that waits for ever: its admission is on record, and the stops of the tasks in whose place it is
 * booked are lost with the leader that decided them.
 */
class LostPreemptionTest {
    private static final String IDLE = "req-000001";
    private static final String URGENT = "req-000002";
    /** No job may wait longer beside a machine whose tasks it may preempt. */
    private static final double MAX_WAIT_SECONDS = 90;

    @Test
    void arrayIsPlacedAgainAfterTheStopsOfItsVictimsAreLost() {
        SimulatedCluster cluster = SimulatedCluster.settled(3);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.clock.passSeconds(7);
        String machine = cluster.workers.keySet().iterator().next();
        cluster.runMicros.put(IDLE, Long.MAX_VALUE);
        cluster.submit("n0", jobBody(IDLE, "beads", 16, "cpus", 1.0, "rank", "idle", "expected_s", 3_600.0));
        for (int i = 0; i < 100 && cluster.runningTasks() < 16; i++) {
            cluster.clock.pass(100_000);
        }
        assertEquals(16, cluster.runningTasks());

        cluster.cutResponsesAndCommands(machine);
        cluster.runMicros.put(URGENT, 5_000_000L);
        cluster.submit("n0", jobBody(URGENT, "beads", 4, "cpus", 1.0, "rank", "urgent"));
        cluster.clock.passSeconds(1);
        assertEquals(1, cluster.store.keys("slices/" + URGENT).size(), "the admission is on record");
        assertEquals(16, cluster.runningTasks());
        String oldLeader = cluster.leader();
        cluster.killNode(oldLeader);
        cluster.healMachineLinks(machine);
        String node = cluster.alive().get(0);
        assertTrue(cluster.reaches(node, URGENT, "done", MAX_WAIT_SECONDS));
    }
}
