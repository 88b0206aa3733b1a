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
        SimulatedCluster world = scenario.cluster;
        String old = world.leader();
        world.refuseStore(old, true);
        long sinceMicros = world.clock.nowMicros();
        world.clock.passSeconds(cancelAfter);
        scenario.cancelThrough(scenario.peerOf(old), id);
        world.clock.pass(sinceMicros + Math.round(outageAfter * 1e6) - world.clock.nowMicros());
        world.store.down(true);
        if (hangs) {
            scenario.machinesOf(id)
                    .forEach(machine -> world.workers.get(machine).freeze(true));
            world.clock.passSeconds(6);
            scenario.machinesOf(id)
                    .forEach(machine -> world.workers.get(machine).freeze(false));
        }
        world.clock.pass(sinceMicros + 18_000_000 - world.clock.nowMicros());
        // The old leader can't know, and keeps its workers' tasks through the outage.
        assertEquals(4, scenario.presentTasks(id).size());
        assertEquals(old, world.leader());
        world.clock.passSeconds(45);
        // The world would have failed, had they been there 35 s after the confirmation.
        assertEquals(0, world.runningTasks());
        world.store.down(false);
        world.refuseStore(old, false);
        scenario.cancel(other);
        scenario.assertAllJobsEnd(60);
    }

    @Test
    void leaderWhoseReadsHangWhileItsLeaseIsRenewed() {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        SimulatedCluster world = scenario.cluster;
        String leader = world.leader();
        int[] hung = delayCalls(
                world,
                60_000_000,
                (from, call) -> from.equals(leader) && call.path().contains("starts=open/"));
        world.clock.passSeconds(2);
        scenario.cancelThrough(scenario.peerOf(leader), id);
        world.clock.passSeconds(15);
        assertEquals(leader, world.leader());
        assertEquals(4, world.runningTasks());
        world.clock.passSeconds(25);
        assertTrue(hung[0] > 0);
        assertEquals(leader, world.leader(), "its lease was renewed all the time");
        assertEquals(0, world.runningTasks());
        world.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        scenario.assertAllJobsEnd(60);
    }

    @Test
    void successorThatCanNotReadKeepsNothingAlive() {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        SimulatedCluster world = scenario.cluster;
        String old = world.leader();
        world.refuseStore(old, true);
        world.clock.pass(500_000);
        scenario.cancelThrough(scenario.peerOf(old), id);
        // The old leader kept its workers through an outage of 19 s, and all that is left to the successor is a lease.
        world.store.down(true);
        world.clock.passSeconds(19);
        world.store.down(false);
        delayCalls(
                world,
                60_000_000,
                (from, call) -> !from.equals(old) && call.path().contains("store?starts=open/"));
        world.clock.passSeconds(8);
        assertNotEquals(old, world.leader());
        assertEquals(2, scenario.fencingToken());
        assertTrue(world.runningTasks() > 0);
        world.clock.passSeconds(22);
        assertEquals(0, world.runningTasks());
        world.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        world.refuseStore(old, false);
        scenario.assertAllJobsEnd(60);
    }

    @Test
    void successorHaltsWhatWasCancelledBeforeItHasReadAllRecords() {
        FailureScenario scenario = scenario(2);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        String stays = scenario.submitAndAwaitRunning(60);
        SimulatedCluster world = scenario.cluster;
        world.clock.passSeconds(2);
        scenario.killLeader();
        assertEquals("cancelled", scenario.cancel(id));
        int[] hung = delayCalls(world, 60_000_000, (from, call) -> call.path().contains("starts=slices/"));
        scenario.awaitLeader(10);
        world.clock.passSeconds(4);
        assertTrue(hung[0] > 0);
        assertEquals(0, scenario.presentTasks(id).size());
        // Nobody knows yet what else should run where, and it goes on.
        assertEquals(4, scenario.presentTasks(stays).size());
        world.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        scenario.assertAllJobsEnd(90);
        scenario.assertEachTaskStartedOnce();
    }

    @Test
    void leaderCutFromStoreAndPeersButNotFromWorkersAndUsers() {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        String stays = scenario.submitAndAwaitRunning(70);
        SimulatedCluster world = scenario.cluster;
        String old = world.leader();
        world.cutFromStore(old);
        world.cutFromPeers(old);
        world.clock.passSeconds(7);
        String successor = world.nodes().stream()
                .filter(node -> !node.equals(old) && world.controller(node).isLeader())
                .findFirst()
                .orElseThrow();
        assertTrue(world.controller(old).isLeader(), "it has heard of nothing");
        scenario.cancelThrough(successor, id);
        assertNotEquals(200, world.poll(old, id).status());
        world.clock.passSeconds(30);
        assertEquals(4, scenario.presentTasks(stays).size());
        assertEquals(1, world.starts.get(stays + "/0"));
        world.healStoreLink(old);
        world.healPeerLinks(old);
        scenario.assertAllJobsEnd(90);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.6, 2.5, 6})
    void leaderRefusedByTheStoreStartsNothing(double healsAfter) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster world = scenario.cluster;
        scenario.limitCloudToOneLargeMachine();
        String machine = world.workers.keySet().iterator().next();
        // What is admitted on it waits for its next report.
        world.workers.get(machine).freeze(true);
        String id = scenario.submit(FOREVER);
        world.clock.pass(300_000);
        assertEquals(1, world.store.keys("slices/").size());
        String old = world.leader();
        world.refuseStore(old, true);
        world.clock.after(2_000_000, () -> world.store.down(true));
        world.clock.after(
                Math.round(healsAfter * 1e6), () -> world.workers.get(machine).freeze(false));
        world.clock.passSeconds(0.7);
        scenario.cancelThrough(scenario.peerOf(old), id);
        world.clock.passSeconds(healsAfter);
        world.clock.passSeconds(3);
        assertEquals(old, world.leader());
        assertTrue(world.clock.nowMicros() - world.workers.get(machine).lastHeartbeatMicros() < 2_000_000);
        assertEquals(0, world.startsAfterCancellation());
        world.store.down(false);
        world.refuseStore(old, false);
        scenario.assertAllJobsEnd(60);
        assertEquals(0, world.startsAfterCancellation());
    }
}
