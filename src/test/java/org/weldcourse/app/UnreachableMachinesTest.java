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

/**
 * Guards against tasks that run twice, outlive their cancellation or exceed a team's limit when machines hang or
 * messages between workers and controllers are lost, delayed or duplicated.
 */
class UnreachableMachinesTest extends FailureCombinations {
    @ParameterizedTest
    @ValueSource(strings = {"isolated", "cannot send", "cannot receive", "hung"})
    void tasksRunAtMostTwiceWhenMachinesAreUnreachableDuringAFailover(String fault) {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(45);
        SimulatedCluster cluster = scenario.cluster;
        Set<String> machines = scenario.machinesOf(id);
        machines.forEach(machine -> injectFault(cluster, machine, fault));
        scenario.killLeader();
        scenario.awaitLeader(10);
        cluster.clock.passSeconds(5);
        for (String machine : machines) {
            assertEquals(
                    1, cluster.workers.get(machine).fencingToken(), "the worker has not seen the new leader's token");
        }
        assertEquals(4, scenario.presentTasks(id).size());
        cluster.clock.passSeconds(14);
        assertTrue(cluster.cloud.released.containsAll(machines));
        scenario.assertAllJobsEnd(150);
        assertTrue(cluster.starts.values().stream().allMatch(count -> count <= 2), cluster.starts.toString());
    }

    private static void injectFault(SimulatedCluster cluster, String machine, String kind) {
        switch (kind) {
            case "cannot send" -> cluster.cutHeartbeats(machine);
            case "cannot receive" -> cluster.cutResponsesAndCommands(machine);
            case "hung" -> cluster.workers.get(machine).freeze(true);
            default -> {
                cluster.cutHeartbeats(machine);
                cluster.cutResponsesAndCommands(machine);
            }
        }
    }

    @Test
    void directCommandsStopTasksOfWorkersThatReachNoController() {
        FailureScenario scenario = scenario(2);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        SimulatedCluster cluster = scenario.cluster;
        scenario.machinesOf(id).forEach(cluster::cutHeartbeats);
        cluster.clock.pass(200_000);
        assertEquals("cancelled", scenario.cancel(id));
        cluster.clock.passSeconds(2);
        assertEquals(0, cluster.runningTasks(), "tasks stop long before the workers' leases expire");
        scenario.assertAllJobsEnd(60);
    }

    @Test
    void machineAwaitingReleaseStopsCancelledTasksDuringACloudOutage() {
        FailureScenario scenario = scenario(1);
        String cancelled = scenario.submitAndAwaitRunning(FOREVER, "beads", 1);
        String finishingJob = scenario.submitAndAwaitRunning(40, "shape", "array", "beads", 1);
        SimulatedCluster cluster = scenario.cluster;
        cluster.cloud.down(true);
        String machine = scenario.machinesOf(cancelled).iterator().next();
        FakeWorker worker = cluster.workers.get(machine);
        // Long enough for the leader to request the machine's release, but shorter than the worker's lease.
        worker.freeze(true);
        cluster.clock.passSeconds(9.5);
        worker.freeze(false);
        int refused = cluster.cloud.refusedRequests();
        cluster.clock.passSeconds(3);
        assertTrue(refused > 0);
        assertEquals(1, scenario.presentTasks(cancelled).size());
        assertEquals("cancelled", scenario.cancel(cancelled));
        cluster.clock.passSeconds(4);
        assertEquals(0, scenario.presentTasks(cancelled).size());
        assertTrue(cluster.reaches("n0", finishingJob, "done", 60), "a task that ends on the machine counts as done");
        assertFalse(cluster.cloud.released.contains(machine));
        cluster.cloud.down(false);
        scenario.assertAllJobsEnd(60);
        scenario.assertEachTaskStartedOnce();
    }

    @ParameterizedTest
    @ValueSource(strings = {"isolated", "cannot send", "cannot receive", "hung"})
    void quotaIsNotGrantedTwiceWhileCancelledTasksMayStillRun(String fault) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.addUnrequested("large", "b", false);
        if (arraysAreServices()) {
            // The service's replicas take two machines.
            cluster.cloud.addUnrequested("large", "a", false);
        }
        cluster.clock.passSeconds(7);
        // The team's limit is 8 CPUs: four tasks.
        String first = scenario.submitAndAwaitRunning(FOREVER, "crew", "capped");
        Set<String> machines = scenario.machinesOf(first);
        assertEquals(cluster.workers.size() - 1, machines.size(), "the other machine is free");
        machines.forEach(machine -> injectFault(cluster, machine, fault));
        cluster.cloud.down(true);
        scenario.killLeader();
        assertEquals("cancelled", scenario.cancel(first));
        String second = scenario.submit(20, "crew", "capped");
        scenario.awaitLeader(10);
        cluster.clock.passSeconds(2);
        assertEquals(4, scenario.presentTasks(first).size(), "the cancelled tasks are still present");
        // Heartbeats from before the tasks started are no evidence that they are gone.
        cluster.workers.values().forEach(worker -> new ArrayList<>(worker.heartbeats())
                .stream()
                        .filter(heartbeat -> Json.list(heartbeat.get("beads")).isEmpty())
                        .forEach(copy -> cluster.request(cluster.leader(), "POST", "/checkin", Json.bytes(copy))));
        String killed = scenario.killLeader();
        scenario.awaitLeader(10);
        cluster.startNode(killed);
        assertEquals(0, scenario.presentTasks(second).size());
        assertEquals("queued", cluster.poll(scenario.aliveNode(0), second).state());
        cluster.clock.passSeconds(25);
        assertFalse(
                cluster.starts.containsKey(second + "/0"), "there is no evidence that the first job's tasks are gone");
        cluster.cloud.down(false);
        machines.forEach(machine -> {
            FakeWorker worker = cluster.workers.get(machine);
            if (worker != null) {
                worker.freeze(false);
                cluster.healMachineLinks(machine);
            }
        });
        scenario.assertAllJobsEnd(120);
    }

    @Test
    void arrayBoundToOneZoneStaysThereWhenItLosesMachines() {
        FailureScenario scenario = scenario(1);
        SimulatedCluster cluster = scenario.cluster;
        scenario.limitCloudToOneLargeMachine();
        String id = scenario.submit(40, "beads", 14, "cpus", 2.0, "together", true, "rigs", List.of("large"));
        scenario.submit(40, "beads", 2, "cpus", 2.0, "yard", "a");
        cluster.clock.passSeconds(6);
        assertTrue(scenario.presentTasks(id).size() >= 4);
        // Only the other zone has free capacity, and the machine of some tasks is unreachable for a while.
        for (int i = 0; i < 3; i++) {
            cluster.cloud.addUnrequested("large", "b", false);
        }
        cluster.cloud.capacity = 4;
        cluster.clock.passSeconds(7);
        String lost = scenario.machinesOf(id).iterator().next();
        cluster.workers.get(lost).freeze(true);
        cluster.cloud.down(true);
        cluster.clock.passSeconds(20);
        assertTrue(
                scenario.presentTasks(id).size() >= 4,
                "tasks count as present until evidence shows that they are gone");
        cluster.cloud.down(false);
        cluster.cloud.capacity = 8;
        scenario.assertAllJobsEnd(300);
        assertTrue(
                cluster.starts.values().stream().anyMatch(count -> count > 1),
                "some tasks were lost and started again");
    }

    @ParameterizedTest
    @ValueSource(longs = {300_000, 2_500_000, 9_000_000})
    void delayedCommandsDoNotStartCancelledTasks(long delayMicros) {
        FailureScenario scenario = scenario(2);
        SimulatedCluster cluster = scenario.cluster;
        int[] delayedCalls =
                delayCalls(cluster, delayMicros, (from, call) -> call.path().equals("/orders"));
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.clock.passSeconds(6);
        String lowPriorityJob = scenario.submitAndAwaitRunning(20, "rank", "idle", "beads", 8);
        for (int i = 0; i < 6; i++) {
            scenario.submit(3, "rank", "urgent", "shape", "ensemble", "beads", 1, "cpus", 14.0);
            cluster.clock.passSeconds(7);
        }
        assertEquals("cancelled", scenario.cancel(lowPriorityJob));
        assertTrue(delayedCalls[0] > 0);
        scenario.assertAllJobsEnd(120);
        assertEquals(0, cluster.startsAfterCancellation());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void staleHeartbeatsCauseNoRestartAroundAFailover(boolean sessionsEnd) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        String finishedJob = scenario.submit(4, "shape", "array");
        assertTrue(cluster.reaches("n0", finishedJob, "done", 60));
        String runningJob = scenario.submitAndAwaitRunning(40);
        FakeWorker worker = cluster.workerOf(runningJob + "/0");
        if (sessionsEnd) {
            // Adds heartbeats of a session that has expired: its tasks were lost and run again.
            cluster.cutHeartbeats(worker.machine().name());
            cluster.clock.passSeconds(10.3);
            cluster.healMachineLinks(worker.machine().name());
            cluster.clock.passSeconds(8);
        }
        cluster.clock.passSeconds(3);
        List<Map<String, Object>> copies = new ArrayList<>();
        cluster.workers.values().forEach(each -> copies.addAll(each.heartbeats()));
        scenario.killLeader();
        int accepted = 0;
        for (int i = 0; i < 60; i++) {
            Map<String, Object> copy = copies.get((i * 7) % copies.size());
            for (String node : cluster.alive()) {
                accepted += cluster.request(node, "POST", "/checkin", Json.bytes(copy))
                                        .status()
                                == 200
                        ? 1
                        : 0;
            }
            cluster.clock.pass(90_000);
        }
        assertTrue(accepted > 0, "the new leader received some of them");
        assertEquals(2, scenario.fencingToken());
        // Sends the copies once more after the new leader has started tasks.
        String laterJob = scenario.submitAndAwaitRunning(10);
        for (Map<String, Object> copy : copies) {
            cluster.request(cluster.leader(), "POST", "/checkin", Json.bytes(copy));
        }
        scenario.assertAllJobsEnd(120);
        int maxStarts = sessionsEnd ? 2 : 1;
        assertTrue(cluster.starts.values().stream().allMatch(count -> count <= maxStarts), cluster.starts.toString());
        assertEquals(1, cluster.starts.get(finishedJob + "/0"));
        assertEquals(1, cluster.starts.get(laterJob + "/0"));
    }

    @Test
    void duplicateHeartbeatsUnderTheSameLeaderCauseNoRestart() {
        FailureScenario scenario = scenario(1);
        SimulatedCluster cluster = scenario.cluster;
        scenario.limitCloudToOneLargeMachine();
        String first = scenario.submitAndAwaitRunning(3, "beads", 1);
        cluster.clock.passSeconds(4);
        FakeWorker worker = cluster.workers.values().iterator().next();
        List<Map<String, Object>> copies = new ArrayList<>(worker.heartbeats());
        String second = scenario.submitAndAwaitRunning(30, "beads", 3);
        // The copies date from when the machine was empty or ran the first job.
        for (Map<String, Object> copy : copies) {
            cluster.request("n0", "POST", "/checkin", Json.bytes(copy));
            cluster.clock.pass(40_000);
        }
        scenario.assertAllJobsEnd(90);
        assertEquals(1, cluster.starts.get(first + "/0"));
        assertEquals(1, cluster.starts.get(second + "/0"));
    }
}
