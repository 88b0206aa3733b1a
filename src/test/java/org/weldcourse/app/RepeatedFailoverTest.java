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

/**
 * Guards against lost jobs and tasks started twice when a failover coincides with other failures: delayed writes, store
 * outages, cancellations, network partitions, or a further failover.
 */
class RepeatedFailoverTest extends FailureCombinations {
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.7, 1.5, 3, 7, 9, 12})
    void tasksThatEndFarApartAreStartedOnceAcrossAFailover(double killAfterSeconds) {
        FailureScenario scenario = scenario(2);
        SimulatedCluster cluster = scenario.cluster;
        // A worker keeps one finished task listed to prompt heartbeats. Two tasks end early, so that it could forget
        // one of them too soon.
        String id = scenario.submit(25, "beads", 4);
        cluster.runMicros.put(id + "/0", 2_000_000L);
        cluster.runMicros.put(id + "/1", 2_000_000L);
        cluster.runMicros.put(id + "/3", 60_000_000L);
        for (int i = 0;
                i < 600 && (!cluster.starts.containsKey(id + "/0") || cluster.workerOf(id + "/0") != null);
                i++) {
            cluster.clock.pass(50_000);
        }
        assertEquals(2, scenario.presentTasks(id).size(), "the first two tasks have ended");
        cluster.clock.passSeconds(killAfterSeconds);
        scenario.killLeader();
        scenario.awaitLeader(8);
        scenario.assertAllJobsEnd(120);
        scenario.assertEachTaskStartedOnce();
    }

    @Test
    void jobsEndDespiteDelayedAdmissionsAndRepeatedFailovers() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        cluster.cloud.bootMicros = 1_200_000;
        for (int round = 0; round < 4; round++) {
            int[] delayedAdmissions = new int[1];
            cluster.network.injectFaults((from, call) -> {
                boolean delayed = isAdmission(call);
                delayedAdmissions[0] += delayed ? 1 : 0;
                return delayed ? 1_000_000 + 2_500_000L * (delayedAdmissions[0] % 3) : FakeNetwork.NORMAL;
            });
            scenario.submit(15);
            scenario.submit(15, "shape", "ensemble", "beads", 3);
            cluster.clock.passSeconds(3 + round);
            assertTrue(delayedAdmissions[0] > 0, "the write of an admission was in flight");
            String killed = scenario.killLeader();
            cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
            cluster.clock.passSeconds(0.3);
            cluster.startNode(killed);
            scenario.awaitLeader(10);
        }
        scenario.assertAllJobsEnd(180);
        assertEquals(5, scenario.fencingToken());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 5, 10, 15, 20, 25, 30, 35, 40, 45, 50, 55, 60})
    void jobsCancelledDuringAFailoverStop(int tenths) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        String runningJob = scenario.submitAndAwaitRunning(FOREVER);
        String startingJob = scenario.submit(FOREVER, "beads", 2);
        String waitingJob = scenario.submit(FOREVER, "yard", "b", "rigs", List.of("large"));
        scenario.killLeader();
        cluster.clock.pass(tenths * 100_000L);
        for (String id : List.of(runningJob, startingJob, waitingJob)) {
            assertEquals("cancelled", scenario.cancel(id));
        }
        scenario.awaitLeader(10);
        cluster.clock.passSeconds(4);
        assertEquals(
                0, cluster.runningTasks(), "cancelled " + tenths + " tenths of a second after the leader was killed");
        assertEquals(0, cluster.startsAfterCancellation());
        scenario.assertAllJobsEnd(30);
    }

    @Test
    void jobsEndDespiteTenFailoversAndAStoreOutage() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        scenario.submitMixedWork();
        for (int round = 0; round < 10; round++) {
            if (round == 4) {
                cluster.store.down(true);
            }
            String leader = cluster.leader() != null
                    ? cluster.leader()
                    : cluster.alive().get(0);
            cluster.killNode(leader);
            if (round % 3 == 2) {
                // All controllers are killed; one restarts within a second, the others later.
                cluster.alive().forEach(cluster::killNode);
                cluster.clock.passSeconds(0.4);
                cluster.startNode("n" + round % 3);
                cluster.clock.passSeconds(6);
            } else {
                cluster.clock.passSeconds(0.2 + round % 4);
            }
            cluster.nodes().forEach(node -> {
                if (!cluster.alive().contains(node)) {
                    cluster.startNode(node);
                }
            });
            cluster.clock.passSeconds(8);
            if (round == 5) {
                cluster.store.down(false);
                cluster.clock.passSeconds(3);
            }
            if (round != 4) {
                scenario.submit(5, "beads", 2);
            }
        }
        assertTrue(scenario.fencingToken() >= 9, "leaders: " + scenario.fencingToken());
        scenario.assertAllJobsEnd(240);
    }

    @Test
    void jobsEndAfterAllControllersWereDownForLongerThanALease() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        scenario.submitMixedWork();
        cluster.clock.passSeconds(8);
        int running = cluster.runningTasks();
        assertTrue(running > 0);
        cluster.alive().forEach(cluster::killNode);
        cluster.clock.passSeconds(14);
        assertEquals(0, cluster.runningTasks(), "the workers' leases have expired");
        cluster.nodes().forEach(cluster::startNode);
        scenario.assertAllJobsEnd(240);
    }

    @Test
    void jobsEndAfterTheLeaderAndItsWorkersWereIsolatedForLongerThanALease() {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        scenario.submitMixedWork();
        String cancelled = scenario.submitAndAwaitRunning(FOREVER);
        cluster.clock.passSeconds(5);
        String isolatedLeader = cluster.leader();
        Set<String> isolatedMachines = new HashSet<>();
        List<String> machines = new ArrayList<>(cluster.workers.keySet());
        for (int i = 0; i < machines.size(); i += 2) {
            isolatedMachines.add(machines.get(i));
        }
        isolatedMachines.addAll(scenario.machinesOf(cancelled));
        cluster.cutFromStore(isolatedLeader);
        cluster.cutFromPeers(isolatedLeader);
        cluster.nodes().stream()
                .filter(node -> !node.equals(isolatedLeader))
                .forEach(node -> isolatedMachines.forEach(machine -> {
                    cluster.network.cut(machine, node + ":80");
                    cluster.network.cut(node, FakeWorker.address(machine));
                }));
        cluster.clock.passSeconds(6);
        assertEquals("cancelled", scenario.cancel(cancelled));
        cluster.clock.passSeconds(8);
        assertEquals(2, scenario.fencingToken());
        cluster.clock.passSeconds(20);
        isolatedMachines.forEach(machine -> {
            if (cluster.workers.containsKey(machine)) {
                cluster.healMachineLinks(machine);
            }
        });
        cluster.healStoreLink(isolatedLeader);
        cluster.healPeerLinks(isolatedLeader);
        scenario.assertAllJobsEnd(240);
    }
}
