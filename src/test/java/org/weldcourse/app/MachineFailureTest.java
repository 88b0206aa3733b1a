package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;
import static org.weldcourse.simulation.SimulatedCluster.settled;

import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against jobs that never finish, and tasks that run twice at once, when machines hang, restart, are reclaimed
 * or fail their tasks, and when the cloud fails.
 */
class MachineFailureTest {
    @Test
    void unresponsiveMachineIsReleasedBeforeItsTasksRunElsewhere() {
        SimulatedCluster cluster = settled(1);
        cluster.runMicros.put("req-000018", 30_000_000L);
        cluster.submit("n0", jobBody("req-000018", "beads", 2));
        assertTrue(cluster.reaches("n0", "req-000018", "running", 60));
        cluster.clock.passSeconds(2);
        FakeWorker worker = cluster.workerOf("req-000018/0");
        worker.freeze(true);
        cluster.clock.passSeconds(14);
        assertTrue(cluster.cloud.released.contains(worker.machine().name()));
        assertTrue(cluster.reaches("n0", "req-000018", "done", 120));
    }

    @Test
    void tasksOfUnresponsiveMachineDoNotRestartBeforeReleaseIsConfirmed() {
        SimulatedCluster cluster = settled(1);
        cluster.runMicros.put("req-000019", 30_000_000L);
        cluster.submit("n0", jobBody("req-000019", "beads", 1));
        assertTrue(cluster.reaches("n0", "req-000019", "running", 60));
        cluster.clock.passSeconds(2);
        cluster.workerOf("req-000019/0").freeze(true);
        cluster.cloud.down(true);
        cluster.clock.passSeconds(40);
        assertEquals(1, cluster.starts.get("req-000019/0"));
        cluster.cloud.down(false);
        assertTrue(cluster.reaches("n0", "req-000019", "done", 120));
    }

    /** The worker's lease expires while it is cut off. It stops its tasks and reports with a new incarnation. */
    @Test
    void tasksLostWithWorkerIncarnationRunAgain() {
        SimulatedCluster cluster = settled(1);
        cluster.runMicros.put("req-000021", 20_000_000L);
        cluster.submit("n0", jobBody("req-000021", "beads", 1));
        assertTrue(cluster.reaches("n0", "req-000021", "running", 60));
        cluster.clock.passSeconds(2);
        FakeWorker worker = cluster.workerOf("req-000021/0");
        cluster.network.cut(worker.machine().name(), "n0:80");
        cluster.clock.passSeconds(10.5);
        cluster.network.heal(worker.machine().name(), "n0:80");
        assertTrue(cluster.reaches("n0", "req-000021", "done", 120));
        assertEquals(2, cluster.starts.get("req-000021/0"));
    }

    @Test
    void unrequestedMachineIsUsedOrReleased() {
        SimulatedCluster cluster = settled(1);
        String unrequested = cluster.cloud.addUnrequested("small", "a", false);
        cluster.clock.passSeconds(90);
        assertTrue(cluster.cloud.released.contains(unrequested));
    }

    @Test
    void machineThatNeverReportsIsReleased() {
        SimulatedCluster cluster = settled(1);
        cluster.submit("n0", jobBody("req-000022"));
        cluster.clock.passSeconds(3);
        String rented = cluster.cloud.machines().iterator().next();
        for (String machine : cluster.cloud.machines()) {
            cluster.network.host(FakeWorker.address(machine), (request, reply) -> {});
            cluster.network.cut(machine, "n0:80");
        }
        cluster.clock.passSeconds(80);
        assertTrue(cluster.cloud.released.contains(rented));
        assertTrue(cluster.reaches("n0", "req-000022", "done", 120));
    }

    @Test
    void preemptionNoticeDrainsMachineBeforeItIsReclaimed() {
        SimulatedCluster cluster = settled(1);
        cluster.runMicros.put("req-000023", 20_000_000L);
        cluster.submit("n0", jobBody("req-000023", "beads", 1, "expected_s", 100.0));
        assertTrue(cluster.reaches("n0", "req-000023", "running", 60));
        cluster.clock.passSeconds(2);
        FakeWorker worker = cluster.workerOf("req-000023/0");
        worker.announcePreemption(8_000_000);
        cluster.clock.passSeconds(3);
        assertFalse(worker.presentTasks().contains("req-000023/0"));
        assertTrue(cluster.reaches("n0", "req-000023", "done", 120));
    }

    /** A machine that falls silent at its announced end needs no wait for its lease to expire. */
    @Test
    void tasksOfReclaimedSpotMachineRestartAtOnce() {
        SimulatedCluster cluster = settled(1);
        cluster.runMicros.put("req-000037", 20_000_000L);
        cluster.submit("n0", jobBody("req-000037", "beads", 1, "expected_s", 1.0));
        assertTrue(cluster.reaches("n0", "req-000037", "running", 60));
        cluster.clock.passSeconds(2);
        FakeWorker worker = cluster.workerOf("req-000037/0");
        worker.announcePreemption(5_000_000);
        cluster.clock.passSeconds(5);
        worker.freeze(true);
        cluster.clock.passSeconds(4);
        assertTrue(cluster.cloud.released.contains(worker.machine().name()));
        assertTrue(cluster.reaches("n0", "req-000037", "done", 60));
    }

    @Test
    void machineOnWhichTasksFailIsReleasedAndJobsFinish() {
        SimulatedCluster cluster = settled(1);
        String faulty = cluster.cloud.addUnrequested("large", "a", false);
        cluster.clock.passSeconds(6);
        cluster.runMicros.put("req-000029/0", -1L);
        cluster.runMicros.put("req-000030/0", -1L);
        cluster.submit("n0", jobBody("req-000029", "beads", 1));
        cluster.submit("n0", jobBody("req-000030", "beads", 1));
        cluster.clock.passSeconds(6);
        cluster.runMicros.remove("req-000029/0");
        cluster.runMicros.remove("req-000030/0");
        assertTrue(cluster.reaches("n0", "req-000029", "done", 120));
        assertTrue(cluster.reaches("n0", "req-000030", "done", 120));
        assertTrue(cluster.cloud.released.contains(faulty));
    }

    @Test
    void controllerStartedDuringCloudOutageKnowsMachineTypes() {
        SimulatedCluster cluster = settled(2);
        cluster.cloud.down(true);
        cluster.killNode("n1");
        cluster.startNode("n1");
        cluster.clock.passSeconds(2);
        assertEquals(200, cluster.request("n1", "GET", "/ready", new byte[0]).status());
        assertEquals(
                422, cluster.submit("n1", jobBody("req-000036", "cpus", 99.0)).status());
    }

    /**
     * The machine's heartbeats arrive, but no answer or command reaches it, so that tasks assigned to it would never
     * start.
     */
    @Test
    void machineThatReceivesNoCommandsDoesNotBlockTasks() {
        SimulatedCluster cluster = settled(1);
        String unreachable = cluster.cloud.addUnrequested("large", "a", true);
        cluster.clock.passSeconds(7);
        cluster.cutResponsesAndCommands(unreachable);
        cluster.submit("n0", jobBody("req-000041", "beads", 6));
        assertTrue(cluster.reaches("n0", "req-000041", "done", 60));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
        cluster.clock.passSeconds(20);
        assertTrue(cluster.cloud.released.contains(unreachable));
    }

    @Test
    void invalidCloudResponsesDoNotStopScheduling() {
        SimulatedCluster cluster = settled(1);
        cluster.cloud.sendMalformedResponses(true);
        cluster.submit("n0", jobBody("req-000052"));
        cluster.clock.passSeconds(20);
        cluster.cloud.sendMalformedResponses(false);
        assertTrue(cluster.reaches("n0", "req-000052", "done", 90));
    }

    /** The machine is back under the same name, without its tasks, before its heartbeats are missed. */
    @Test
    void jobSurvivesImmediateMachineRestart() {
        SimulatedCluster cluster = settled(1);
        cluster.runMicros.put("req-000053", 20_000_000L);
        cluster.submit("n0", jobBody("req-000053"));
        assertTrue(cluster.reaches("n0", "req-000053", "running", 60));
        cluster.clock.passSeconds(2);
        String machine = cluster.workerOf("req-000053/0").machine().name();
        cluster.restartMachine(machine);
        assertTrue(cluster.reaches("n0", "req-000053", "done", 120));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count <= 2), cluster.starts.toString());
    }
}
