package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.app.FailureScenario.FOREVER;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.SimulatedCluster;

/** A leader that the state service refuses or can't be heard by, and so knows less than users were told. */
class IsolatedLeaderTest extends FailureCombinations {
    @ParameterizedTest
    @CsvSource({"0.1, 2, false", "1, 2, false", "1.9, 2, false", "0.9, 1, true", "3, 3.5, false", "0.01, 0.5, true"})
    void storeRefusesTheLeaderAloneAndThenEveryone(double cancelAfter, double outageAfter, boolean hangs) {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        String other = scenario.submitAndAwaitRunning(FOREVER, "beads", 2);
        SimulatedCluster cluster = scenario.cluster;
        String old = cluster.leader();
        cluster.refuseStore(old, true);
        long sinceMicros = cluster.clock.nowMicros();
        cluster.clock.passSeconds(cancelAfter);
        scenario.cancelThrough(scenario.peerOf(old), id);
        cluster.clock.pass(sinceMicros + Math.round(outageAfter * 1e6) - cluster.clock.nowMicros());
        cluster.store.down(true);
        if (hangs) {
            scenario.machinesOf(id)
                    .forEach(machine -> cluster.workers.get(machine).freeze(true));
            cluster.clock.passSeconds(6);
            scenario.machinesOf(id)
                    .forEach(machine -> cluster.workers.get(machine).freeze(false));
        }
        cluster.clock.pass(sinceMicros + 18_000_000 - cluster.clock.nowMicros());
        // The old leader can't know, and keeps its workers' tasks through the outage.
        assertEquals(4, scenario.presentTasks(id).size());
        assertEquals(old, cluster.leader());
        cluster.clock.passSeconds(45);
        // The cluster would have failed, had they been there 35 s after the confirmation.
        assertEquals(0, cluster.runningTasks());
        cluster.store.down(false);
        cluster.refuseStore(old, false);
        scenario.cancel(other);
        scenario.assertAllJobsEnd(60);
    }

    @Test
    void leaderWhoseReadsHangWhileItsLeaseIsRenewed() {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        SimulatedCluster cluster = scenario.cluster;
        String leader = cluster.leader();
        int[] hung = delayCalls(
                cluster,
                60_000_000,
                (from, call) -> from.equals(leader) && call.path().contains("starts=open/"));
        cluster.clock.passSeconds(2);
        scenario.cancelThrough(scenario.peerOf(leader), id);
        cluster.clock.passSeconds(15);
        assertEquals(leader, cluster.leader());
        assertEquals(4, cluster.runningTasks());
        cluster.clock.passSeconds(25);
        assertTrue(hung[0] > 0);
        assertEquals(leader, cluster.leader(), "its lease was renewed all the time");
        assertEquals(0, cluster.runningTasks());
        cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        scenario.assertAllJobsEnd(60);
    }

    @Test
    void successorThatCanNotReadKeepsNothingAlive() {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        SimulatedCluster cluster = scenario.cluster;
        String old = cluster.leader();
        cluster.refuseStore(old, true);
        cluster.clock.pass(500_000);
        scenario.cancelThrough(scenario.peerOf(old), id);
        // The old leader kept its workers through an outage of 19 s, and all that is left to the successor is a lease.
        cluster.store.down(true);
        cluster.clock.passSeconds(19);
        cluster.store.down(false);
        delayCalls(
                cluster,
                60_000_000,
                (from, call) -> !from.equals(old) && call.path().contains("store?starts=open/"));
        cluster.clock.passSeconds(8);
        assertNotEquals(old, cluster.leader());
        assertEquals(2, scenario.fencingToken());
        assertTrue(cluster.runningTasks() > 0);
        cluster.clock.passSeconds(22);
        assertEquals(0, cluster.runningTasks());
        cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        cluster.refuseStore(old, false);
        scenario.assertAllJobsEnd(60);
    }

    @Test
    void successorHaltsWhatWasCancelledBeforeItHasReadAllRecords() {
        FailureScenario scenario = scenario(2);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        String stays = scenario.submitAndAwaitRunning(60);
        SimulatedCluster cluster = scenario.cluster;
        cluster.clock.passSeconds(2);
        scenario.killLeader();
        assertEquals("cancelled", scenario.cancel(id));
        int[] hung = delayCalls(cluster, 60_000_000, (from, call) -> call.path().contains("starts=slices/"));
        scenario.awaitLeader(10);
        cluster.clock.passSeconds(4);
        assertTrue(hung[0] > 0);
        assertEquals(0, scenario.presentTasks(id).size());
        // Nobody knows yet what else should run where, and it goes on.
        assertEquals(4, scenario.presentTasks(stays).size());
        cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        scenario.assertAllJobsEnd(90);
        scenario.assertEachTaskStartedOnce();
    }

    @Test
    void leaderCutFromStoreAndPeersButNotFromWorkersAndUsers() {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        String stays = scenario.submitAndAwaitRunning(70);
        SimulatedCluster cluster = scenario.cluster;
        String old = cluster.leader();
        cluster.cutFromStore(old);
        cluster.cutFromPeers(old);
        cluster.clock.passSeconds(7);
        String successor = cluster.nodes().stream()
                .filter(node -> !node.equals(old) && cluster.controller(node).isLeader())
                .findFirst()
                .orElseThrow();
        assertTrue(cluster.controller(old).isLeader(), "it has heard of nothing");
        scenario.cancelThrough(successor, id);
        assertNotEquals(200, cluster.poll(old, id).status());
        cluster.clock.passSeconds(30);
        assertEquals(4, scenario.presentTasks(stays).size());
        assertEquals(1, cluster.starts.get(stays + "/0"));
        cluster.healStoreLink(old);
        cluster.healPeerLinks(old);
        scenario.assertAllJobsEnd(90);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.6, 2.5, 6})
    void leaderRefusedByTheStoreStartsNothing(double healsAfter) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        scenario.limitCloudToOneLargeMachine();
        String machine = cluster.workers.keySet().iterator().next();
        // What is admitted on it waits for its next report.
        cluster.workers.get(machine).freeze(true);
        String id = scenario.submit(FOREVER);
        cluster.clock.pass(300_000);
        assertEquals(1, cluster.store.keys("slices/").size());
        String old = cluster.leader();
        cluster.refuseStore(old, true);
        cluster.clock.after(2_000_000, () -> cluster.store.down(true));
        cluster.clock.after(
                Math.round(healsAfter * 1e6), () -> cluster.workers.get(machine).freeze(false));
        cluster.clock.passSeconds(0.7);
        scenario.cancelThrough(scenario.peerOf(old), id);
        cluster.clock.passSeconds(healsAfter);
        cluster.clock.passSeconds(3);
        assertEquals(old, cluster.leader());
        assertTrue(cluster.clock.nowMicros() - cluster.workers.get(machine).lastHeartbeatMicros() < 2_000_000);
        assertEquals(0, cluster.startsAfterCancellation());
        cluster.store.down(false);
        cluster.refuseStore(old, false);
        scenario.assertAllJobsEnd(60);
        assertEquals(0, cluster.startsAfterCancellation());
    }
}
