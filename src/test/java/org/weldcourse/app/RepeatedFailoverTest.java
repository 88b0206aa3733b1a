package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.app.FailureScenario.FOREVER;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/** Failovers that meet other troubles, or one another. */
class RepeatedFailoverTest extends FailureCombinations {
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.7, 1.5, 3, 7, 9, 12})
    void tasksThatEndFarApartAcrossAFailover(double endsAfter) {
        FailureScenario scenario = scenario(2);
        SimulatedCluster world = scenario.cluster;
        // One finished task stays listed, to prompt a heartbeat with: it takes two for one to be forgotten too soon.
        String id = scenario.submit(25, "beads", 4);
        world.runMicros.put(id + "/0", 2_000_000L);
        world.runMicros.put(id + "/1", 2_000_000L);
        world.runMicros.put(id + "/3", 60_000_000L);
        for (int i = 0; i < 600 && (!world.starts.containsKey(id + "/0") || world.workerOf(id + "/0") != null); i++) {
            world.clock.pass(50_000);
        }
        assertEquals(2, scenario.presentTasks(id).size(), "the first have ended");
        world.clock.passSeconds(endsAfter);
        scenario.killLeader();
        scenario.awaitLeader(8);
        scenario.assertAllJobsEnd(120);
        scenario.assertEachTaskStartedOnce();
    }

    @Test
    void machinesUpAtOnceGetWorkWhileWritesLagAndTheLeaderEnds() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster world = scenario.cluster;
        world.cloud.bootMicros = 1_200_000;
        for (int round = 0; round < 4; round++) {
            int[] late = new int[1];
            world.network.injectFaults((from, call) -> {
                boolean lag = isAdmission(call);
                late[0] += lag ? 1 : 0;
                return lag ? 1_000_000 + 2_500_000L * (late[0] % 3) : FakeNetwork.NORMAL;
            });
            scenario.submit(15);
            scenario.submit(15, "shape", "ensemble", "beads", 3);
            world.clock.passSeconds(3 + round);
            assertTrue(late[0] > 0, "an admission was under way");
            String ended = scenario.killLeader();
            world.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
            world.clock.passSeconds(0.3);
            world.startNode(ended);
            scenario.awaitLeader(10);
        }
        scenario.assertAllJobsEnd(180);
        assertEquals(5, scenario.fencingToken());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 5, 10, 15, 20, 25, 30, 35, 40, 45, 50, 55, 60})
    void jobsAreCancelledInTheSecondsOfAFailover(int tenths) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster world = scenario.cluster;
        String runs = scenario.submitAndAwaitRunning(FOREVER);
        String starts = scenario.submit(FOREVER, "beads", 2);
        String waits = scenario.submit(FOREVER, "yard", "b", "rigs", List.of("large"));
        scenario.killLeader();
        world.clock.pass(tenths * 100_000L);
        for (String id : List.of(runs, starts, waits)) {
            assertEquals("cancelled", scenario.cancel(id));
        }
        scenario.awaitLeader(10);
        world.clock.passSeconds(4);
        assertEquals(0, world.runningTasks(), "cancelled " + tenths + " tenths after the leader's end");
        assertEquals(0, world.startsAfterCancellation());
        scenario.assertAllJobsEnd(30);
    }

    @Test
    void tenLeadersInTwoMinutesWithAnOutageAmongThem() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster world = scenario.cluster;
        scenario.submitMixedWork();
        for (int round = 0; round < 10; round++) {
            if (round == 4) {
                world.store.down(true);
            }
            String leader =
                    world.leader() != null ? world.leader() : world.alive().get(0);
            world.killNode(leader);
            if (round % 3 == 2) {
                // All end, and one is back within a second; the others follow.
                world.alive().forEach(world::killNode);
                world.clock.passSeconds(0.4);
                world.startNode("n" + round % 3);
                world.clock.passSeconds(6);
            } else {
                world.clock.passSeconds(0.2 + round % 4);
            }
            world.nodes().forEach(node -> {
                if (!world.alive().contains(node)) {
                    world.startNode(node);
                }
            });
            world.clock.passSeconds(8);
            if (round == 5) {
                world.store.down(false);
                world.clock.passSeconds(3);
            }
            if (round != 4) {
                scenario.submit(5, "beads", 2);
            }
        }
        assertTrue(scenario.fencingToken() >= 9, "leaders: " + scenario.fencingToken());
        scenario.assertAllJobsEnd(240);
    }

    @Test
    void allControllersAreAwayForLongerThanALease() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster world = scenario.cluster;
        scenario.submitMixedWork();
        world.clock.passSeconds(8);
        int running = world.runningTasks();
        assertTrue(running > 0);
        world.alive().forEach(world::killNode);
        world.clock.passSeconds(14);
        assertEquals(0, world.runningTasks(), "their leases ended");
        world.nodes().forEach(world::startNode);
        scenario.assertAllJobsEnd(240);
    }

    @Test
    void zoneWithWorkersAndTheLeaderIsCutOffForLongerThanALease() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster world = scenario.cluster;
        scenario.submitMixedWork();
        String cancelled = scenario.submitAndAwaitRunning(FOREVER);
        world.clock.passSeconds(5);
        String old = world.leader();
        Set<String> inside = new HashSet<>();
        List<String> machines = new ArrayList<>(world.workers.keySet());
        for (int i = 0; i < machines.size(); i += 2) {
            inside.add(machines.get(i));
        }
        inside.addAll(scenario.machinesOf(cancelled));
        world.cutFromStore(old);
        world.cutFromPeers(old);
        world.nodes().stream()
                .filter(node -> !node.equals(old))
                .forEach(node -> inside.forEach(machine -> {
                    world.network.cut(machine, node + ":80");
                    world.network.cut(node, FakeWorker.address(machine));
                }));
        world.clock.passSeconds(6);
        assertEquals("cancelled", scenario.cancel(cancelled));
        world.clock.passSeconds(8);
        assertEquals(2, scenario.fencingToken());
        world.clock.passSeconds(20);
        inside.forEach(machine -> {
            if (world.workers.containsKey(machine)) {
                world.healMachineLinks(machine);
            }
        });
        world.healStoreLink(old);
        world.healPeerLinks(old);
        scenario.assertAllJobsEnd(240);
    }
}
