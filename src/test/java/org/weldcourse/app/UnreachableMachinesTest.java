package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.app.FailureScenario.FOREVER;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/** Machines that are cut off, mute, deaf or hung, and heartbeats of theirs that come late or twice. */
class UnreachableMachinesTest extends FailureCombinations {
    @ParameterizedTest
    @ValueSource(strings = {"cut", "mute", "deaf", "hung"})
    void failoverWhileMachinesWithLongTasksAreUnreachable(String trouble) {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(45);
        SimulatedCluster world = scenario.cluster;
        Set<String> machines = scenario.machinesOf(id);
        machines.forEach(machine -> trouble(world, machine, trouble));
        scenario.killLeader();
        scenario.awaitLeader(10);
        world.clock.passSeconds(5);
        for (String machine : machines) {
            assertEquals(1, world.workers.get(machine).fencingToken(), "it has not heard of the new leader");
        }
        assertEquals(4, scenario.presentTasks(id).size());
        world.clock.passSeconds(14);
        assertTrue(world.cloud.released.containsAll(machines));
        scenario.assertAllJobsEnd(150);
        assertTrue(world.starts.values().stream().allMatch(count -> count <= 2), world.starts.toString());
    }

    private static void trouble(SimulatedCluster world, String machine, String kind) {
        switch (kind) {
            case "mute" -> world.cutHeartbeats(machine);
            case "deaf" -> world.cutResponsesAndCommands(machine);
            case "hung" -> world.workers.get(machine).freeze(true);
            default -> {
                world.cutHeartbeats(machine);
                world.cutResponsesAndCommands(machine);
            }
        }
    }

    @Test
    void directOrdersHaltTasksOfWorkersThatReachNoController() {
        FailureScenario scenario = scenario(2);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        SimulatedCluster world = scenario.cluster;
        scenario.machinesOf(id).forEach(world::cutHeartbeats);
        world.clock.pass(200_000);
        assertEquals("cancelled", scenario.cancel(id));
        world.clock.passSeconds(2);
        assertEquals(0, world.runningTasks(), "long before their leases end");
        scenario.assertAllJobsEnd(60);
    }

    @Test
    void machineToBeReleasedDuringACloudOutageHaltsCancelledTasks() {
        FailureScenario scenario = scenario(1);
        String cancelled = scenario.submitAndAwaitRunning(FOREVER, "beads", 1);
        String finishes = scenario.submitAndAwaitRunning(40, "shape", "array", "beads", 1);
        SimulatedCluster world = scenario.cluster;
        world.cloud.down(true);
        String machine = scenario.machinesOf(cancelled).iterator().next();
        FakeWorker worker = world.workers.get(machine);
        // So long that it is to be returned, and not so long that its lease ends.
        worker.freeze(true);
        world.clock.passSeconds(9.5);
        worker.freeze(false);
        int refused = world.cloud.refusedRequests();
        world.clock.passSeconds(3);
        assertTrue(refused > 0);
        assertEquals(1, scenario.presentTasks(cancelled).size());
        assertEquals("cancelled", scenario.cancel(cancelled));
        world.clock.passSeconds(4);
        assertEquals(0, scenario.presentTasks(cancelled).size());
        assertTrue(world.reaches("n0", finishes, "done", 60), "what ends there counts");
        assertFalse(world.cloud.released.contains(machine));
        world.cloud.down(false);
        scenario.assertAllJobsEnd(60);
        scenario.assertEachTaskStartedOnce();
    }

    @ParameterizedTest
    @ValueSource(strings = {"cut", "mute", "deaf", "hung"})
    void noQuotaIsGrantedTwiceWhileCancelledTasksMayBeThere(String trouble) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster world = scenario.cluster;
        world.cloud.addUnrequested("large", "a", false);
        world.cloud.addUnrequested("large", "b", false);
        if (arraysAreServices()) {
            // Its replicas take two machines.
            world.cloud.addUnrequested("large", "a", false);
        }
        world.clock.passSeconds(7);
        // The team's limit is 8 CPUs: four tasks.
        String first = scenario.submitAndAwaitRunning(FOREVER, "crew", "capped");
        Set<String> machines = scenario.machinesOf(first);
        assertEquals(world.workers.size() - 1, machines.size(), "there is room on the other machine");
        machines.forEach(machine -> trouble(world, machine, trouble));
        world.cloud.down(true);
        scenario.killLeader();
        assertEquals("cancelled", scenario.cancel(first));
        String second = scenario.submit(20, "crew", "capped");
        scenario.awaitLeader(10);
        world.clock.passSeconds(2);
        assertEquals(4, scenario.presentTasks(first).size(), "they were cancelled and are there still");
        // Reports from before the tasks came are no evidence that they are gone.
        world.workers.values().forEach(worker -> new ArrayList<>(worker.heartbeats())
                .stream()
                        .filter(report -> Json.list(report.get("beads")).isEmpty())
                        .forEach(copy -> world.request(world.leader(), "POST", "/checkin", Json.bytes(copy))));
        String ended = scenario.killLeader();
        scenario.awaitLeader(10);
        world.startNode(ended);
        assertEquals(0, scenario.presentTasks(second).size());
        assertEquals("queued", world.poll(scenario.aliveNode(0), second).state());
        world.clock.passSeconds(25);
        assertFalse(world.starts.containsKey(second + "/0"), "nobody has said that the first are gone");
        world.cloud.down(false);
        machines.forEach(machine -> {
            FakeWorker worker = world.workers.get(machine);
            if (worker != null) {
                worker.freeze(false);
                world.healMachineLinks(machine);
            }
        });
        scenario.assertAllJobsEnd(120);
    }

    @Test
    void arraysInOneZoneStayInItWhenTheyLoseMachines() {
        FailureScenario scenario = scenario(1);
        SimulatedCluster world = scenario.cluster;
        scenario.limitCloudToOneLargeMachine();
        String id = scenario.submit(40, "beads", 14, "cpus", 2.0, "together", true, "rigs", List.of("large"));
        scenario.submit(40, "beads", 2, "cpus", 2.0, "yard", "a");
        world.clock.passSeconds(6);
        assertTrue(scenario.presentTasks(id).size() >= 4);
        // There is room in the other zone alone, and part of the tasks can't be asked for a while.
        for (int i = 0; i < 3; i++) {
            world.cloud.addUnrequested("large", "b", false);
        }
        world.cloud.capacity = 4;
        world.clock.passSeconds(7);
        String lost = scenario.machinesOf(id).iterator().next();
        world.workers.get(lost).freeze(true);
        world.cloud.down(true);
        world.clock.passSeconds(20);
        assertTrue(scenario.presentTasks(id).size() >= 4, "they are there as long as nobody says otherwise");
        world.cloud.down(false);
        world.cloud.capacity = 8;
        scenario.assertAllJobsEnd(300);
        assertTrue(world.starts.values().stream().anyMatch(count -> count > 1), "some were lost");
    }

    @ParameterizedTest
    @ValueSource(longs = {300_000, 2_500_000, 9_000_000})
    void ordersDelayedForSecondsChangeNothingThatIsSettled(long heldMicros) {
        FailureScenario scenario = scenario(2);
        SimulatedCluster world = scenario.cluster;
        int[] held = delayCalls(world, heldMicros, (from, call) -> call.path().equals("/orders"));
        world.cloud.addUnrequested("large", "a", false);
        world.cloud.capacity = 1;
        world.clock.passSeconds(6);
        String low = scenario.submitAndAwaitRunning(20, "rank", "idle", "beads", 8);
        for (int i = 0; i < 6; i++) {
            scenario.submit(3, "rank", "urgent", "shape", "ensemble", "beads", 1, "cpus", 14.0);
            world.clock.passSeconds(7);
        }
        assertEquals("cancelled", scenario.cancel(low));
        assertTrue(held[0] > 0);
        scenario.assertAllJobsEnd(120);
        assertEquals(0, world.startsAfterCancellation());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void staleHeartbeatsReachEveryControllerAroundAFailover(boolean sessionsEnd) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster world = scenario.cluster;
        String ends = scenario.submit(4, "shape", "array");
        assertTrue(world.reaches("n0", ends, "done", 60));
        String runs = scenario.submitAndAwaitRunning(40);
        FakeWorker worker = world.workerOf(runs + "/0");
        if (sessionsEnd) {
            // From an earlier session too: the tasks were lost with it and run again.
            world.cutHeartbeats(worker.machine().name());
            world.clock.passSeconds(10.3);
            world.healMachineLinks(worker.machine().name());
            world.clock.passSeconds(8);
        }
        world.clock.passSeconds(3);
        List<Map<String, Object>> copies = new ArrayList<>();
        world.workers.values().forEach(one -> copies.addAll(one.heartbeats()));
        scenario.killLeader();
        int taught = 0;
        for (int i = 0; i < 60; i++) {
            Map<String, Object> copy = copies.get((i * 7) % copies.size());
            for (String node : world.alive()) {
                taught += world.request(node, "POST", "/checkin", Json.bytes(copy))
                                        .status()
                                == 200
                        ? 1
                        : 0;
            }
            world.clock.pass(90_000);
        }
        assertTrue(taught > 0, "some came to the new leader");
        assertEquals(2, scenario.fencingToken());
        // And once more, held back until the new leader has acted.
        String after = scenario.submitAndAwaitRunning(10);
        for (Map<String, Object> copy : copies) {
            world.request(world.leader(), "POST", "/checkin", Json.bytes(copy));
        }
        scenario.assertAllJobsEnd(120);
        int most = sessionsEnd ? 2 : 1;
        assertTrue(world.starts.values().stream().allMatch(count -> count <= most), world.starts.toString());
        assertEquals(1, world.starts.get(ends + "/0"));
        assertEquals(1, world.starts.get(after + "/0"));
    }

    @Test
    void duplicateHeartbeatsUnderTheSameLeaderChangeNothing() {
        FailureScenario scenario = scenario(1);
        SimulatedCluster world = scenario.cluster;
        scenario.limitCloudToOneLargeMachine();
        String first = scenario.submitAndAwaitRunning(3, "beads", 1);
        world.clock.passSeconds(4);
        FakeWorker worker = world.workers.values().iterator().next();
        List<Map<String, Object>> copies = new ArrayList<>(worker.heartbeats());
        String second = scenario.submitAndAwaitRunning(30, "beads", 3);
        // Of a time when the machine was empty, or ran what is done by now.
        for (Map<String, Object> copy : copies) {
            world.request("n0", "POST", "/checkin", Json.bytes(copy));
            world.clock.pass(40_000);
        }
        scenario.assertAllJobsEnd(90);
        assertEquals(1, world.starts.get(first + "/0"));
        assertEquals(1, world.starts.get(second + "/0"));
    }
}
