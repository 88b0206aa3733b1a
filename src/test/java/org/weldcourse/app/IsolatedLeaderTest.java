package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.app.FailureScenario.FOREVER;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.jobs.FinalStateCodec;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.store.Transaction;

/**
 * Guards against cancelled tasks that run on. A leader that cannot read the store does not know of a cancellation that
 * another node has confirmed to the user, while its heartbeat answers would keep the leases of its workers alive.
 */
class IsolatedLeaderTest extends FailureCombinations {
    /**
     * The leader misses a cancellation, and the store outage that follows prevents a failover to a node that knows of
     * it. The workers must not keep the cancelled tasks beyond the time allowed.
     */
    @ParameterizedTest
    @CsvSource({"0.1, 2, false", "1, 2, false", "1.9, 2, false", "0.9, 1, true", "3, 3.5, false", "0.01, 0.5, true"})
    void cancelledTasksStopWhenStoreRefusesLeaderThenAllNodes(
            double cancelAfterSeconds, double outageAfterSeconds, boolean workersHang) {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        String other = scenario.submitAndAwaitRunning(FOREVER, "beads", 2);
        SimulatedCluster cluster = scenario.cluster;
        String oldLeader = cluster.leader();
        cluster.refuseStore(oldLeader, true);
        long sinceMicros = cluster.clock.nowMicros();
        cluster.clock.after(Math.round(outageAfterSeconds * 1e6), () -> cluster.store.down(true));
        cluster.clock.passSeconds(cancelAfterSeconds);
        // Written before the outage, and confirmed half a second later.
        scenario.cancelThrough(scenario.peerOf(oldLeader), id);
        cluster.clock.pass(Math.max(0, sinceMicros + Math.round(outageAfterSeconds * 1e6) - cluster.clock.nowMicros()));
        if (workersHang) {
            scenario.machinesOf(id)
                    .forEach(machine -> cluster.workers.get(machine).freeze(true));
            cluster.clock.passSeconds(6);
            scenario.machinesOf(id)
                    .forEach(machine -> cluster.workers.get(machine).freeze(false));
        }
        cluster.clock.pass(sinceMicros + 18_000_000 - cluster.clock.nowMicros());
        // The old leader does not know of the cancellation, and keeps its workers' tasks through the outage.
        assertEquals(4, scenario.presentTasks(id).size());
        assertEquals(oldLeader, cluster.leader());
        cluster.clock.passSeconds(45);
        // The simulated cluster fails the test if a task is still on a machine 35 s after the confirmed cancellation.
        assertEquals(0, cluster.runningTasks());
        cluster.store.down(false);
        cluster.refuseStore(oldLeader, false);
        scenario.cancel(other);
        scenario.assertAllJobsEnd(60);
    }

    /** The leader keeps its leadership, as its lease renewals succeed, but its reads of the jobs get no response. */
    @Test
    void cancelledTasksStopWhenLeaderReadsHangWhileLeaseIsRenewed() {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        SimulatedCluster cluster = scenario.cluster;
        String leader = cluster.leader();
        int[] delayedReads = delayCalls(
                cluster,
                60_000_000,
                (from, call) -> from.equals(leader) && call.path().contains("starts=open/"));
        cluster.clock.passSeconds(2);
        scenario.cancelThrough(scenario.peerOf(leader), id);
        cluster.clock.passSeconds(15);
        assertEquals(leader, cluster.leader());
        assertEquals(4, cluster.runningTasks());
        cluster.clock.passSeconds(25);
        assertTrue(delayedReads[0] > 0);
        assertEquals(leader, cluster.leader(), "the leader renews its lease throughout");
        assertEquals(0, cluster.runningTasks());
        cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        scenario.assertAllJobsEnd(60);
    }

    /** The new leader cannot load the jobs, so it must not renew the leases of workers whose tasks may be cancelled. */
    @Test
    void cancelledTasksStopWhenNewLeaderCannotReadStore() {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        SimulatedCluster cluster = scenario.cluster;
        String oldLeader = cluster.leader();
        cluster.refuseStore(oldLeader, true);
        cluster.clock.pass(500_000);
        scenario.cancelThrough(scenario.peerOf(oldLeader), id);
        // The old leader's workers keep their tasks through the outage of 19 s. The new leader holds the leader lease,
        // but cannot read the jobs.
        cluster.store.down(true);
        cluster.clock.passSeconds(19);
        cluster.store.down(false);
        delayCalls(
                cluster,
                60_000_000,
                (from, call) -> !from.equals(oldLeader) && call.path().contains("store?starts=open/"));
        cluster.clock.passSeconds(8);
        assertNotEquals(oldLeader, cluster.leader());
        assertEquals(2, scenario.fencingToken());
        assertTrue(cluster.runningTasks() > 0);
        cluster.clock.passSeconds(22);
        assertEquals(0, cluster.runningTasks());
        cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        cluster.refuseStore(oldLeader, false);
        scenario.assertAllJobsEnd(60);
    }

    /**
     * The new leader has loaded the jobs, but its reads of the admissions hang. It knows which tasks are cancelled,
     * but not which others belong to which machine.
     */
    @Test
    void newLeaderStopsCancelledTasksBeforeAllRecordsAreLoaded() {
        FailureScenario scenario = scenario(2);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        String unaffected = scenario.submitAndAwaitRunning(60);
        SimulatedCluster cluster = scenario.cluster;
        cluster.clock.passSeconds(2);
        scenario.killLeader();
        assertEquals("cancelled", scenario.cancel(id));
        int[] delayedReads =
                delayCalls(cluster, 60_000_000, (from, call) -> call.path().contains("starts=slices/"));
        scenario.awaitLeader(10);
        cluster.clock.passSeconds(4);
        assertTrue(delayedReads[0] > 0);
        assertEquals(0, scenario.presentTasks(id).size());
        // The new leader has not loaded the admissions yet, and stops no other task.
        assertEquals(4, scenario.presentTasks(unaffected).size());
        cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        scenario.assertAllJobsEnd(90);
        scenario.assertEachTaskStartedOnce();
    }

    /** Workers and users still reach the old leader, which would answer polls and heartbeats from stale state. */
    @Test
    void leaderIsolatedFromStoreAndPeersNeitherServesPollsNorLosesTasks() {
        FailureScenario scenario = scenario(3);
        String id = scenario.submitAndAwaitRunning(FOREVER);
        String unaffected = scenario.submitAndAwaitRunning(70);
        SimulatedCluster cluster = scenario.cluster;
        String oldLeader = cluster.leader();
        cluster.cutFromStore(oldLeader);
        cluster.cutFromPeers(oldLeader);
        cluster.clock.passSeconds(7);
        String newLeader = cluster.nodes().stream()
                .filter(node ->
                        !node.equals(oldLeader) && cluster.controller(node).isLeader())
                .findFirst()
                .orElseThrow();
        assertTrue(cluster.controller(oldLeader).isLeader(), "the old leader has not noticed the failover");
        scenario.cancelThrough(newLeader, id);
        assertNotEquals(200, cluster.poll(oldLeader, id).status());
        cluster.clock.passSeconds(30);
        assertEquals(4, scenario.presentTasks(unaffected).size());
        assertEquals(1, cluster.starts.get(unaffected + "/0"));
        cluster.healStoreLink(oldLeader);
        cluster.healPeerLinks(oldLeader);
        scenario.assertAllJobsEnd(90);
    }

    /** Tasks that are admitted on the only machine start with the answer to its next heartbeat. */
    private static FakeWorker hangOnlyMachine(FailureScenario scenario) {
        scenario.limitCloudToOneLargeMachine();
        FakeWorker worker = scenario.cluster.workers.values().iterator().next();
        worker.freeze(true);
        return worker;
    }

    private static String submitAndAwaitAdmission(FailureScenario scenario) {
        String id = scenario.submit(FOREVER);
        scenario.cluster.clock.pass(300_000);
        assertEquals(1, scenario.cluster.store.keys("slices/").size());
        return id;
    }

    /**
     * Guards against starts of cancelled jobs by a leader that has lost the store and not noticed it: its requests hang,
     * its lease is valid and its last read is recent, while another node confirms the cancellation.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.4, 1.2, 2.5})
    void leaderThatHasNotNoticedLosingStoreStartsNoCancelledTasks(double reachableAfterSeconds) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        FakeWorker worker = hangOnlyMachine(scenario);
        String id = submitAndAwaitAdmission(scenario);
        String oldLeader = cluster.leader();
        cluster.cutFromStore(oldLeader);
        scenario.cancelThrough(scenario.peerOf(oldLeader), id);
        cluster.clock.passSeconds(reachableAfterSeconds);
        worker.freeze(false);
        cluster.clock.passSeconds(3);
        assertEquals(0, cluster.startsAfterCancellation());
        cluster.healStoreLink(oldLeader);
        scenario.assertAllJobsEnd(60);
        assertEquals(0, cluster.startsAfterCancellation());
    }

    /**
     * Guards against starts on a read that was served before the cancellation and answered after its confirmation: the
     * order in which the leader's read is slow and the user's requests are not.
     */
    @ParameterizedTest
    @CsvSource({"0.1, false", "0.4, false", "0.49, true", "0.7, false"})
    void leaderWhoseReadIsAnsweredLateStartsNoCancelledTasks(double readSeconds, boolean userPollsOtherNode) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        FakeWorker worker = hangOnlyMachine(scenario);
        String id = submitAndAwaitAdmission(scenario);
        String leader = cluster.leader();
        String peer = scenario.peerOf(leader);
        int[] slowReads = new int[1];
        cluster.network.injectFaults((from, call) -> {
            boolean slow = from.equals(leader) && call.path().startsWith("/watch?starts=open/");
            slowReads[0] += slow && call.path().endsWith("block_ms=0") ? 1 : 0;
            return slow ? FakeNetwork.responseDelayedBy(Math.round(readSeconds * 1e6)) : FakeNetwork.NORMAL;
        });
        // The watch that was sent before, and answered without delay, is over.
        cluster.clock.passSeconds(1.2);
        assertEquals(0, slowReads[0]);
        worker.freeze(false);
        for (int i = 0; i < 2_000 && slowReads[0] == 0; i++) {
            cluster.clock.pass(1_000);
        }
        assertEquals(1, slowReads[0]);
        cluster.clock.pass(2_000);
        // The simulated cluster fails the test if a start command is sent after a node has confirmed the cancellation.
        cluster.cancelAsync(peer, id);
        if (userPollsOtherNode) {
            cluster.clock.pass(20_000);
            cluster.pollAsync(
                    cluster.nodes().stream()
                            .filter(node -> !node.equals(leader) && !node.equals(peer))
                            .findFirst()
                            .orElseThrow(),
                    id);
        }
        cluster.clock.passSeconds(2);
        assertEquals("cancelled", cluster.invariants().lastReportedState(id));
        assertEquals(0, cluster.startsAfterCancellation());
        cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
        scenario.cancel(id);
        scenario.assertAllJobsEnd(60);
    }

    /**
     * Guards against starts of a job that a successor has ended: a leader that was deposed without noticing it sees only
     * that the job's record is gone, in the changes or, once these are compacted, in a new list.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void leaderStartsNothingOfAJobWhoseRecordIsGone(boolean changesCompacted) {
        FailureScenario scenario = scenario(1);
        SimulatedCluster cluster = scenario.cluster;
        FakeWorker worker = hangOnlyMachine(scenario);
        String id = submitAndAwaitAdmission(scenario);
        String leader = cluster.leader();
        cluster.cutFromStore(leader);
        Transaction end = new Transaction()
                .delete(StoreKeys.openJob(id))
                .put(StoreKeys.finalState(id), FinalStateCodec.encode(true, 0));
        cluster.storeClient("successor").commit(end, commit -> assertEquals(Outcome.OK, commit.outcome()));
        cluster.clock.pass(500_000);
        if (changesCompacted) {
            cluster.store.compactHistory();
        }
        cluster.healStoreLink(leader);
        cluster.clock.passSeconds(3);
        worker.freeze(false);
        cluster.clock.passSeconds(3);
        assertEquals(leader, cluster.leader());
        assertEquals(0, cluster.starts.getOrDefault(id + "/0", 0));
        assertEquals("cancelled", cluster.poll(leader, id).state());
    }

    /** The job is cancelled while its tasks wait for a hanging machine, and the leader does not learn of it. */
    @ParameterizedTest
    @ValueSource(doubles = {1.6, 2.5, 6})
    void leaderRefusedByStoreStartsNoCancelledTasks(double reachableAfterSeconds) {
        FailureScenario scenario = scenario(3);
        SimulatedCluster cluster = scenario.cluster;
        FakeWorker worker = hangOnlyMachine(scenario);
        String id = submitAndAwaitAdmission(scenario);
        String oldLeader = cluster.leader();
        cluster.refuseStore(oldLeader, true);
        cluster.clock.after(2_000_000, () -> cluster.store.down(true));
        cluster.clock.after(Math.round(reachableAfterSeconds * 1e6), () -> worker.freeze(false));
        cluster.clock.passSeconds(0.7);
        scenario.cancelThrough(scenario.peerOf(oldLeader), id);
        cluster.clock.passSeconds(reachableAfterSeconds);
        cluster.clock.passSeconds(3);
        assertEquals(oldLeader, cluster.leader());
        assertTrue(cluster.clock.nowMicros() - worker.lastHeartbeatMicros() < 2_000_000);
        assertEquals(0, cluster.startsAfterCancellation());
        cluster.store.down(false);
        cluster.refuseStore(oldLeader, false);
        scenario.assertAllJobsEnd(60);
        assertEquals(0, cluster.startsAfterCancellation());
    }
}
