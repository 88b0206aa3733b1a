package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.SimulatedCluster;

/** Guards against jobs that wait without the metrics telling what for. */
class WaitReasonMetricsTest {
    private static String metrics(SimulatedCluster cluster) {
        return cluster.controller(cluster.leader()).metrics();
    }

    @Test
    void tasksAboveTheLimitWaitForQuota() {
        SimulatedCluster cluster = SimulatedCluster.settled(1);
        cluster.runMicros.put("req-000001", 60_000_000L);
        cluster.submit("n0", jobBody("req-000001", "crew", "capped", "beads", 6));
        assertTrue(cluster.reaches("n0", "req-000001", "running", 30));
        cluster.clock.passSeconds(2);
        assertTrue(metrics(cluster).contains("weldcourse_waiting_tasks{reason=\"quota\"} 2.0\n"), metrics(cluster));
    }

    @Test
    void tasksWithoutCapacityInTheCloudWaitForAnOffering() {
        SimulatedCluster cluster = SimulatedCluster.settled(1);
        cluster.cloud.capacity = 0;
        cluster.submit("n0", jobBody("req-000001"));
        cluster.clock.passSeconds(10);
        String metrics = metrics(cluster);
        assertTrue(metrics.contains("weldcourse_waiting_tasks{reason=\"no offering\"} 4.0\n"), metrics);
        assertTrue(metrics.contains("weldcourse_longest_wait_seconds{reason=\"no offering\"} "), metrics);
    }
}
