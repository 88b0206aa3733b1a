package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;
import static org.weldcourse.simulation.SimulatedCluster.settled;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.SimulatedCluster;

/** Elections, failover and leaders that are cut off: running tasks outlive all of them. */
class LeaderFailoverTest {
    @Test
    void failoverKeepsRunningTasksWithoutStartingThemAgain() {
        SimulatedCluster world = settled(3);
        world.runMicros.put("req-000014", 40_000_000L);
        world.submit("n0", jobBody("req-000014"));
        assertTrue(world.reaches("n0", "req-000014", "running", 60));
        world.clock.passSeconds(5);
        assertEquals(4, world.runningTasks());
        String old = world.leader();
        world.killNode(old);
        world.clock.passSeconds(10);
        assertNotNull(world.leader());
        String other = world.leader();
        assertTrue(world.reaches(other, "req-000014", "done", 90));
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), world.starts.toString());
    }

    @Test
    void allControllersRestartAndNothingIsForgotten() {
        SimulatedCluster world = settled(3);
        world.runMicros.put("req-000015", 30_000_000L);
        world.submit("n0", jobBody("req-000015"));
        world.clock.passSeconds(12);
        for (String node : List.of("n0", "n1", "n2")) {
            world.killNode(node);
        }
        world.clock.passSeconds(3);
        for (String node : List.of("n0", "n1", "n2")) {
            world.startNode(node);
        }
        world.clock.passSeconds(3);
        assertEquals(200, world.poll("n1", "req-000015").status());
        assertTrue(world.reaches("n1", "req-000015", "done", 120));
    }

    @Test
    void restartedLeaderNeedNotWaitForItsOwnLeaseToExpire() {
        SimulatedCluster world = settled(1);
        world.killNode("n0");
        world.startNode("n0");
        world.clock.passSeconds(1);
        assertEquals("n0", world.leader());
    }

    @Test
    void leaderCutFromTheStoreStepsDownAndItsWorkersFollowTheSuccessor() {
        SimulatedCluster world = settled(3);
        world.runMicros.put("req-000016", 60_000_000L);
        world.submit("n0", jobBody("req-000016"));
        assertTrue(world.reaches("n0", "req-000016", "running", 60));
        world.clock.passSeconds(3);
        String old = world.leader();
        world.cutFromStore(old);
        world.clock.passSeconds(8);
        String successor = null;
        for (String node : List.of("n0", "n1", "n2")) {
            if (!node.equals(old) && world.controller(node).isLeader()) {
                successor = node;
            }
        }
        assertNotNull(successor);
        // Told by the successor; the old leader can't know, and must have let go of its workers in time.
        world.cancel(successor, "req-000016");
        for (int i = 0; i < 45; i++) {
            world.clock.passSeconds(1);
            world.checkCancelled();
        }
        world.healStoreLink(old);
        world.clock.passSeconds(10);
        assertEquals(0, world.runningTasks());
    }

    @Test
    void runningTasksOutliveAStoreOutage() {
        SimulatedCluster world = settled(3);
        world.runMicros.put("req-000017", 35_000_000L);
        world.submit("n0", jobBody("req-000017"));
        assertTrue(world.reaches("n0", "req-000017", "running", 60));
        world.clock.passSeconds(3);
        world.store.down(true);
        world.clock.passSeconds(15);
        assertEquals(4, world.runningTasks());
        world.store.down(false);
        assertTrue(world.reaches("n0", "req-000017", "done", 90));
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), world.starts.toString());
    }

    @Test
    void isolatedFormerLeaderReleasesNoMachines() {
        SimulatedCluster world = settled(3);
        world.runMicros.put("req-000020", 70_000_000L);
        world.submit("n0", jobBody("req-000020"));
        assertTrue(world.reaches("n0", "req-000020", "running", 60));
        world.clock.passSeconds(3);
        String old = world.leader();
        int machines = world.cloud.machines().size();
        world.cutFromStore(old);
        world.cutFromWorkers(old);
        world.clock.passSeconds(40);
        assertEquals(machines, world.cloud.machines().size());
        assertEquals(4, world.runningTasks());
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), world.starts.toString());
    }

    @Test
    void finishedTasksAreNotRunAgainAfterAFailover() {
        SimulatedCluster world = settled(2);
        for (int i = 0; i < 4; i++) {
            world.runMicros.put("req-000033/" + i, i < 2 ? 3_000_000L : 40_000_000L);
        }
        world.submit("n0", jobBody("req-000033"));
        assertTrue(world.reaches("n0", "req-000033", "running", 60));
        world.clock.passSeconds(12);
        world.killNode(world.leader());
        world.clock.passSeconds(8);
        assertTrue(world.reaches(world.leader(), "req-000033", "done", 120));
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), world.starts.toString());
    }

    @Test
    void followersSendWorkersToTheLeader() {
        SimulatedCluster world = settled(3);
        String leader = world.leader();
        for (String node : List.of("n0", "n1", "n2")) {
            SimulatedCluster.ApiResponse answer = world.request(
                    node,
                    "POST",
                    "/checkin",
                    Json.bytes(Json.of(
                            "forge",
                            "m-900000",
                            "addr",
                            "x:1",
                            "rig",
                            "small",
                            "yard",
                            "a",
                            "loaners",
                            false,
                            "shift",
                            1,
                            "stitch",
                            1,
                            "torch",
                            0,
                            "recall_s",
                            null,
                            "beads",
                            List.of())));
            assertEquals(node.equals(leader) ? 200 : 421, answer.status());
            if (!node.equals(leader)) {
                assertEquals(leader, Json.text(answer.body(), "foreman"));
            }
        }
    }

    @Test
    void leaderCutFromStoreAndPeersLetsItsWorkersGo() {
        SimulatedCluster world = settled(3);
        world.runMicros.put("req-000042", 60_000_000L);
        world.submit("n0", jobBody("req-000042"));
        assertTrue(world.reaches("n0", "req-000042", "running", 60));
        world.clock.passSeconds(3);
        String old = world.leader();
        world.cutFromStore(old);
        world.cutFromPeers(old);
        world.clock.passSeconds(14);
        // Its workers followed the successor before their leases ran out: nothing was lost.
        assertEquals(4, world.runningTasks());
        world.workers.values().forEach(worker -> assertEquals(2, worker.fencingToken()));
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), world.starts.toString());
        assertEquals(503, world.request(old, "GET", "/ready", new byte[0]).status());
    }

    @ParameterizedTest
    @ValueSource(longs = {500, 1_500, 2_500, 3_500, 4_500, 5_500, 6_500, 7_500, 8_500, 9_500, 10_500, 11_500})
    void processBackAtOnceInMidElectionLeadsAndServes(long afterMicros) {
        // What its earlier life had under way is still carried out after its new one began.
        SimulatedCluster world = new SimulatedCluster(1);
        world.clock.pass(afterMicros);
        world.killNode("n0");
        world.startNode("n0");
        world.clock.passSeconds(7);
        assertEquals("n0", world.leader(), "killed after " + afterMicros);
        assertEquals(201, world.submit("n0", jobBody("req-000049")).status());
        assertTrue(world.reaches("n0", "req-000049", "done", 60));
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), world.starts.toString());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 125, 250, 375, 500, 625, 750, 875})
    void pausedLeaderActsOnNothingThatItBelievedBefore(int millis) {
        SimulatedCluster world = settled(3);
        world.runMicros.put("req-000054", 60_000_000L);
        world.submit("n0", jobBody("req-000054"));
        assertTrue(world.reaches("n0", "req-000054", "running", 60));
        world.clock.passSeconds(2);
        String old = world.leader();
        String other = old.equals("n0") ? "n1" : "n0";
        // In the middle of an admission, its write, its first start.
        world.submit(other, jobBody("req-000055"));
        world.clock.pass(millis * 1_000);
        world.pauseNode(old);
        world.clock.passSeconds(8);
        assertEquals("cancelled", world.cancel(other, "req-000054").state());
        world.clock.passSeconds(17);
        int machines = world.cloud.machines().size();
        int released = world.cloud.released.size();
        world.resumeNode(old);
        world.clock.pass(300_000);
        assertFalse(world.controller(old).isLeader(), "after " + millis);
        assertEquals(machines, world.cloud.machines().size());
        assertEquals(released, world.cloud.released.size());
        assertEquals("cancelled", world.poll(old, "req-000054").state());
        world.clock.passSeconds(20);
        world.checkCancelled();
        assertTrue(world.reaches(old, "req-000055", "done", 90));
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), world.starts.toString());
    }
}
