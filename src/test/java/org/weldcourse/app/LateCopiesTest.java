package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;
import static org.weldcourse.simulation.SimulatedCluster.settled;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.simulation.MessageRepeater;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against tasks that run on two machines at once, or after their cancellation, because a start command that was
 * carried out and answered reaches the worker once more: every message is repeated again and again.
 */
class LateCopiesTest {
    private static final String JOB = "req-000001";
    private static final long COPY_INTERVAL_MICROS = 170_000;
    private static final int COPIED_REPORTS = 20;
    private static final long FAILS_AT_ONCE = -1;
    private static final long MINUTE_MICROS = 60_000_000;

    /** A cluster with two machines that are up, in which all messages are repeated. */
    private static SimulatedCluster clusterWithCopies(int nodes) {
        SimulatedCluster cluster = settled(nodes);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.clock.passSeconds(7);
        new MessageRepeater(cluster, COPY_INTERVAL_MICROS, COPIED_REPORTS).start();
        return cluster;
    }

    private static void submitAndAwaitStart(SimulatedCluster cluster, int tasks) {
        cluster.submit(cluster.leader(), jobBody(JOB, "beads", tasks));
        String last = JOB + "/" + (tasks - 1);
        for (int i = 0; i < 3_000 && !cluster.starts.containsKey(last); i++) {
            cluster.clock.pass(10_000);
        }
        assertEquals(1, cluster.starts.get(last));
    }

    private static SimulatedCluster clusterWithRunningJob() {
        SimulatedCluster cluster = clusterWithCopies(2);
        cluster.runMicros.put(JOB, MINUTE_MICROS);
        submitAndAwaitStart(cluster, 4);
        return cluster;
    }

    /** The tasks fail at once and move to the other machine; the first one is told to forget them. */
    @Test
    void copyReachesTheMachineThatATaskHasLeft() {
        SimulatedCluster cluster = clusterWithCopies(1);
        cluster.runMicros.put(JOB, FAILS_AT_ONCE);
        submitAndAwaitStart(cluster, 4);
        cluster.runMicros.put(JOB, MINUTE_MICROS);
        cluster.clock.passSeconds(8);
        assertEquals(2, cluster.starts.get(JOB + "/0"), "once on each machine");
        assertEquals("running", cluster.poll("n0", JOB).state());
    }

    @Test
    void copyReachesTheMachineAfterTheCancellation() {
        SimulatedCluster cluster = clusterWithRunningJob();
        cluster.cancel("n1", JOB);
        cluster.clock.passSeconds(10);
        assertEquals("cancelled", cluster.poll("n0", JOB).state());
        assertEquals(0, cluster.startsAfterCancellation());
    }

    /** The tasks end within a second; once their ends are on record, the worker is told to forget them. */
    @Test
    void copyReachesTheMachineAfterTheEnd() {
        SimulatedCluster cluster = clusterWithCopies(1);
        cluster.runMicros.put(JOB, 300_000L);
        submitAndAwaitStart(cluster, 8);
        assertTrue(cluster.reaches("n0", JOB, "done", 60));
        cluster.clock.passSeconds(8);
        for (int task = 0; task < 8; task++) {
            assertEquals(1, cluster.starts.get(JOB + "/" + task));
        }
    }

    /** A controller is back within a second, as leader or as standby, in the first seconds of a task. */
    @ParameterizedTest
    @ValueSource(longs = {50_000, 300_000, 900_000, 2_000_000})
    void controllerReturnsWithinASecond(long afterMicros) {
        SimulatedCluster cluster = clusterWithRunningJob();
        cluster.clock.pass(afterMicros);
        String leader = cluster.leader();
        cluster.killNode(leader);
        cluster.clock.pass(afterMicros / 3);
        cluster.startNode(leader);
        cluster.cancelAsync(leader, JOB);
        cluster.clock.passSeconds(30);
        assertTrue(cluster.reaches(leader, JOB, "cancelled", 30));
        assertEquals(0, cluster.startsAfterCancellation());
    }

    /** A machine is back within a second without its tasks, and numbers its reports from 1 again. */
    @ParameterizedTest
    @ValueSource(longs = {50_000, 300_000, 900_000, 2_000_000})
    void machineReturnsWithinASecond(long afterMicros) {
        SimulatedCluster cluster = clusterWithRunningJob();
        cluster.clock.pass(afterMicros);
        cluster.restartMachine(cluster.workerOf(JOB + "/0").machine().name());
        assertTrue(cluster.reaches("n0", JOB, "done", 240));
    }

    @ParameterizedTest
    @ValueSource(longs = {50_000, 300_000, 900_000, 2_000_000})
    void machineOfCancelledTasksReturnsWithinASecond(long afterMicros) {
        SimulatedCluster cluster = clusterWithRunningJob();
        cluster.clock.pass(afterMicros);
        String machine = cluster.workerOf(JOB + "/0").machine().name();
        cluster.cancelAsync("n1", JOB);
        cluster.clock.pass(afterMicros / 3);
        cluster.restartMachine(machine);
        cluster.clock.passSeconds(40);
        assertEquals("cancelled", cluster.poll("n0", JOB).state());
        assertEquals(0, cluster.runningTasks());
        cluster.checkCancelled();
    }
}
