package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;
import static org.weldcourse.simulation.SimulatedCluster.settled;

import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/** Machines that hang, end, announce their end or are faulty, and a cloud that fails. */
class MachineFailureTest {
    @Test
    void silentMachineIsReleasedBeforeItsTasksRunElsewhere() {
        SimulatedCluster world = settled(1);
        world.runMicros.put("req-000018", 30_000_000L);
        world.submit("n0", jobBody("req-000018", "beads", 2));
        assertTrue(world.reaches("n0", "req-000018", "running", 60));
        world.clock.passSeconds(2);
        FakeWorker worker = world.workerOf("req-000018/0");
        worker.freeze(true);
        world.clock.passSeconds(14);
        assertTrue(world.cloud.released.contains(worker.machine().name()));
        assertTrue(world.reaches("n0", "req-000018", "done", 120));
    }

    @Test
    void silentMachineKeepsItsTasksWhileTheCloudCannotConfirm() {
        SimulatedCluster world = settled(1);
        world.runMicros.put("req-000019", 30_000_000L);
        world.submit("n0", jobBody("req-000019", "beads", 1));
        assertTrue(world.reaches("n0", "req-000019", "running", 60));
        world.clock.passSeconds(2);
        world.workerOf("req-000019/0").freeze(true);
        world.cloud.down(true);
        world.clock.passSeconds(40);
        assertEquals(1, world.starts.get("req-000019/0"));
        world.cloud.down(false);
        assertTrue(world.reaches("n0", "req-000019", "done", 120));
    }

    @Test
    void newIncarnationMeansTheTasksAreGoneAndRunAgain() {
        SimulatedCluster world = settled(1);
        world.runMicros.put("req-000021", 20_000_000L);
        world.submit("n0", jobBody("req-000021", "beads", 1));
        assertTrue(world.reaches("n0", "req-000021", "running", 60));
        world.clock.passSeconds(2);
        FakeWorker worker = world.workerOf("req-000021/0");
        world.network.cut(worker.machine().name(), "n0:80");
        world.clock.passSeconds(10.5);
        world.network.heal(worker.machine().name(), "n0:80");
        assertTrue(world.reaches("n0", "req-000021", "done", 120));
        assertEquals(2, world.starts.get("req-000021/0"));
    }

    @Test
    void unrequestedMachineIsUsedOrReleased() {
        SimulatedCluster world = settled(1);
        String found = world.cloud.addUnrequested("small", "a", false);
        world.clock.passSeconds(90);
        assertTrue(world.cloud.released.contains(found));
    }

    @Test
    void machineThatNeverComesUpIsReleased() {
        SimulatedCluster world = settled(1);
        world.submit("n0", jobBody("req-000022"));
        world.clock.passSeconds(3);
        String rented = world.cloud.machines().iterator().next();
        for (String machine : world.cloud.machines()) {
            world.network.host(FakeWorker.address(machine), (request, reply) -> {});
            world.network.cut(machine, "n0:80");
        }
        world.clock.passSeconds(80);
        assertTrue(world.cloud.released.contains(rented));
        assertTrue(world.reaches("n0", "req-000022", "done", 120));
    }

    @Test
    void preemptionNoticeDrainsTheMachineBeforeItGoes() {
        SimulatedCluster world = settled(1);
        world.runMicros.put("req-000023", 20_000_000L);
        world.submit("n0", jobBody("req-000023", "beads", 1, "expected_s", 100.0));
        assertTrue(world.reaches("n0", "req-000023", "running", 60));
        world.clock.passSeconds(2);
        FakeWorker worker = world.workerOf("req-000023/0");
        worker.announcePreemption(8_000_000);
        world.clock.passSeconds(3);
        assertFalse(worker.presentTasks().contains("req-000023/0"));
        assertTrue(world.reaches("n0", "req-000023", "done", 120));
    }

    @Test
    void machinePreemptedAsAnnouncedFreesItsTasksAtOnce() {
        SimulatedCluster world = settled(1);
        world.runMicros.put("req-000037", 20_000_000L);
        world.submit("n0", jobBody("req-000037", "beads", 1, "expected_s", 1.0));
        assertTrue(world.reaches("n0", "req-000037", "running", 60));
        world.clock.passSeconds(2);
        FakeWorker worker = world.workerOf("req-000037/0");
        worker.announcePreemption(5_000_000);
        world.clock.passSeconds(5);
        worker.freeze(true);
        world.clock.passSeconds(4);
        assertTrue(world.cloud.released.contains(worker.machine().name()));
        assertTrue(world.reaches("n0", "req-000037", "done", 60));
    }

    @Test
    void faultyMachineIsReleasedAndTheWorkFinishes() {
        SimulatedCluster world = settled(1);
        String bad = world.cloud.addUnrequested("large", "a", false);
        world.clock.passSeconds(6);
        world.runMicros.put("req-000029/0", -1L);
        world.runMicros.put("req-000030/0", -1L);
        world.submit("n0", jobBody("req-000029", "beads", 1));
        world.submit("n0", jobBody("req-000030", "beads", 1));
        world.clock.passSeconds(6);
        world.runMicros.remove("req-000029/0");
        world.runMicros.remove("req-000030/0");
        assertTrue(world.reaches("n0", "req-000029", "done", 120));
        assertTrue(world.reaches("n0", "req-000030", "done", 120));
        assertTrue(world.cloud.released.contains(bad));
    }

    @Test
    void cloudOutageDoesNotBlindAFreshNode() {
        SimulatedCluster world = settled(2);
        world.cloud.down(true);
        world.killNode("n1");
        world.startNode("n1");
        world.clock.passSeconds(2);
        assertEquals(200, world.request("n1", "GET", "/ready", new byte[0]).status());
        assertEquals(
                422, world.submit("n1", jobBody("req-000036", "cpus", 99.0)).status());
    }

    @Test
    void machineThatHearsNothingSwallowsNoWork() {
        SimulatedCluster world = settled(1);
        String deaf = world.cloud.addUnrequested("large", "a", true);
        world.clock.passSeconds(7);
        world.cutResponsesAndCommands(deaf);
        world.submit("n0", jobBody("req-000041", "beads", 6));
        assertTrue(world.reaches("n0", "req-000041", "done", 60));
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), world.starts.toString());
        world.clock.passSeconds(20);
        assertTrue(world.cloud.released.contains(deaf));
    }

    @Test
    void nonsenseFromTheCloudStopsNothing() {
        SimulatedCluster world = settled(1);
        world.cloud.sendMalformedResponses(true);
        world.submit("n0", jobBody("req-000052"));
        world.clock.passSeconds(20);
        world.cloud.sendMalformedResponses(false);
        assertTrue(world.reaches("n0", "req-000052", "done", 90));
    }

    @Test
    void machineBackAtOnceLosesNoJob() {
        SimulatedCluster world = settled(1);
        world.runMicros.put("req-000053", 20_000_000L);
        world.submit("n0", jobBody("req-000053"));
        assertTrue(world.reaches("n0", "req-000053", "running", 60));
        world.clock.passSeconds(2);
        String machine = world.workerOf("req-000053/0").machine().name();
        world.restartMachine(machine);
        assertTrue(world.reaches("n0", "req-000053", "done", 120));
        assertTrue(world.starts.values().stream().allMatch(count -> count <= 2), world.starts.toString());
    }
}
