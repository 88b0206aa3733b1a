package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.weldcourse.simulation.JobBodies.jobBody;

import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against tasks in zones that their job doesn't allow after a failover: the new leader knows the machines of the
 * recorded tasks by name alone until they report or the cloud lists them. The simulated cluster fails a test in which a
 * task starts in a wrong zone.
 */
class ZonesAfterFailoverTest {
    private static final String JOB = "req-000001";

    private final SimulatedCluster cluster = SimulatedCluster.settled(3);

    private String addMachine(String zone) {
        cluster.cloud.addUnrequested("large", zone, false);
        cluster.cloud.capacity = cluster.workers.size() + 1;
        cluster.clock.passSeconds(7);
        return cluster.workers.keySet().stream()
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    private void awaitRunning(int tasks) {
        for (int i = 0; i < 200 && cluster.runningTasks() != tasks; i++) {
            cluster.clock.pass(100_000);
        }
        assertEquals(tasks, cluster.runningTasks());
    }

    /**
     * Three of six replicas run on a machine that the new leader doesn't hear; another machine in the same zone reports
     * and has room for all.
     */
    @Test
    void spreadServiceKeepsItsZonesWhileAMachineIsNotHeard() {
        String first = addMachine("a");
        cluster.runMicros.put(JOB, Long.MAX_VALUE);
        cluster.submit(
                "n0", jobBody(JOB, "shape", "service", "beads", 6, "cpus", 1.0, "expected_s", 0.0, "apart", true));
        awaitRunning(3);
        addMachine("a");
        failOverUnheard(first);
        cluster.clock.passSeconds(5);
        assertEquals(3, cluster.runningTasks());
        recover(first);
        addMachine("b");
        awaitRunning(6);
    }

    /** The only machine of a single-zone job is not heard, and a machine in another zone has room. */
    @Test
    void singleZoneJobKeepsItsZoneWhileItsMachineIsNotHeard() {
        String first = addMachine("a");
        cluster.runMicros.put(JOB, 300_000_000L);
        cluster.submit("n0", jobBody(JOB, "beads", 10, "cpus", 8.0, "together", true));
        awaitRunning(2);
        addMachine("b");
        failOverUnheard(first);
        cluster.clock.passSeconds(5);
        assertEquals(2, cluster.runningTasks());
    }

    private void failOverUnheard(String machine) {
        cluster.cutHeartbeats(machine);
        cluster.cloud.down(true);
        cluster.killNode(cluster.leader());
        for (int i = 0; i < 60 && cluster.leader() == null; i++) {
            cluster.clock.pass(100_000);
        }
    }

    private void recover(String machine) {
        cluster.healMachineLinks(machine);
        cluster.cloud.down(false);
        cluster.clock.passSeconds(2);
    }
}
