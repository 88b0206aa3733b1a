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

/**
 * Guards running tasks against changes of the leader: a failover, restarted controllers, a store outage or an isolated
 * leader must neither stop them nor start them twice.
 */
class LeaderFailoverTest {
    @Test
    void failoverDoesNotRestartRunningTasks() {
        SimulatedCluster cluster = settled(3);
        cluster.runMicros.put("req-000014", 40_000_000L);
        cluster.submit("n0", jobBody("req-000014"));
        assertTrue(cluster.reaches("n0", "req-000014", "running", 60));
        cluster.clock.passSeconds(5);
        assertEquals(4, cluster.runningTasks());
        String oldLeader = cluster.leader();
        cluster.killNode(oldLeader);
        cluster.clock.passSeconds(10);
        assertNotNull(cluster.leader());
        String newLeader = cluster.leader();
        assertTrue(cluster.reaches(newLeader, "req-000014", "done", 90));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
    }

    @Test
    void jobsSurviveRestartOfAllControllers() {
        SimulatedCluster cluster = settled(3);
        cluster.runMicros.put("req-000015", 30_000_000L);
        cluster.submit("n0", jobBody("req-000015"));
        cluster.clock.passSeconds(12);
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.killNode(node);
        }
        cluster.clock.passSeconds(3);
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.startNode(node);
        }
        cluster.clock.passSeconds(3);
        assertEquals(200, cluster.poll("n1", "req-000015").status());
        assertTrue(cluster.reaches("n1", "req-000015", "done", 120));
    }

    @Test
    void restartedLeaderReacquiresItsOwnLeaseAtOnce() {
        SimulatedCluster cluster = settled(1);
        cluster.killNode("n0");
        cluster.startNode("n0");
        cluster.clock.passSeconds(1);
        assertEquals("n0", cluster.leader());
    }

    /** The old leader still reaches its workers, and would keep the tasks of a job that the new leader cancels. */
    @Test
    void leaderCutFromStoreStepsDownAndWorkersFollowNewLeader() {
        SimulatedCluster cluster = settled(3);
        cluster.runMicros.put("req-000016", 60_000_000L);
        cluster.submit("n0", jobBody("req-000016"));
        assertTrue(cluster.reaches("n0", "req-000016", "running", 60));
        cluster.clock.passSeconds(3);
        String oldLeader = cluster.leader();
        cluster.cutFromStore(oldLeader);
        cluster.clock.passSeconds(8);
        String newLeader = null;
        for (String node : List.of("n0", "n1", "n2")) {
            if (!node.equals(oldLeader) && cluster.controller(node).isLeader()) {
                newLeader = node;
            }
        }
        assertNotNull(newLeader);
        // The new leader confirms the cancellation. The old leader does not know of it, and must have stopped renewing
        // the leases of its workers in time.
        cluster.cancel(newLeader, "req-000016");
        for (int i = 0; i < 45; i++) {
            cluster.clock.passSeconds(1);
            cluster.checkCancelled();
        }
        cluster.healStoreLink(oldLeader);
        cluster.clock.passSeconds(10);
        assertEquals(0, cluster.runningTasks());
    }

    @Test
    void runningTasksSurviveStoreOutage() {
        SimulatedCluster cluster = settled(3);
        cluster.runMicros.put("req-000017", 35_000_000L);
        cluster.submit("n0", jobBody("req-000017"));
        assertTrue(cluster.reaches("n0", "req-000017", "running", 60));
        cluster.clock.passSeconds(3);
        cluster.store.down(true);
        cluster.clock.passSeconds(15);
        assertEquals(4, cluster.runningTasks());
        cluster.store.down(false);
        assertTrue(cluster.reaches("n0", "req-000017", "done", 90));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
    }

    /** The old leader hears no heartbeats, and would release its machines as lost while the new leader uses them. */
    @Test
    void isolatedFormerLeaderReleasesNoMachines() {
        SimulatedCluster cluster = settled(3);
        cluster.runMicros.put("req-000020", 70_000_000L);
        cluster.submit("n0", jobBody("req-000020"));
        assertTrue(cluster.reaches("n0", "req-000020", "running", 60));
        cluster.clock.passSeconds(3);
        String oldLeader = cluster.leader();
        int machines = cluster.cloud.machines().size();
        cluster.cutFromStore(oldLeader);
        cluster.cutFromWorkers(oldLeader);
        cluster.clock.passSeconds(40);
        assertEquals(machines, cluster.cloud.machines().size());
        assertEquals(4, cluster.runningTasks());
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
    }

    @Test
    void finishedTasksAreNotRerunAfterFailover() {
        SimulatedCluster cluster = settled(2);
        for (int i = 0; i < 4; i++) {
            cluster.runMicros.put("req-000033/" + i, i < 2 ? 3_000_000L : 40_000_000L);
        }
        cluster.submit("n0", jobBody("req-000033"));
        assertTrue(cluster.reaches("n0", "req-000033", "running", 60));
        cluster.clock.passSeconds(12);
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(8);
        assertTrue(cluster.reaches(cluster.leader(), "req-000033", "done", 120));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
    }

    @Test
    void standbysRedirectWorkersToLeader() {
        SimulatedCluster cluster = settled(3);
        String leader = cluster.leader();
        for (String node : List.of("n0", "n1", "n2")) {
            SimulatedCluster.ApiResponse answer = cluster.request(
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
    void workersOfLeaderCutFromStoreAndPeersFollowNewLeader() {
        SimulatedCluster cluster = settled(3);
        cluster.runMicros.put("req-000042", 60_000_000L);
        cluster.submit("n0", jobBody("req-000042"));
        assertTrue(cluster.reaches("n0", "req-000042", "running", 60));
        cluster.clock.passSeconds(3);
        String oldLeader = cluster.leader();
        cluster.cutFromStore(oldLeader);
        cluster.cutFromPeers(oldLeader);
        cluster.clock.passSeconds(14);
        // The workers followed the new leader before their leases expired, so that no task was lost.
        assertEquals(4, cluster.runningTasks());
        cluster.workers.values().forEach(worker -> assertEquals(2, worker.fencingToken()));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
        assertEquals(
                503, cluster.request(oldLeader, "GET", "/ready", new byte[0]).status());
    }

    /** Requests of the killed process still reach the store after the new process has started. */
    @ParameterizedTest
    @ValueSource(longs = {500, 1_500, 2_500, 3_500, 4_500, 5_500, 6_500, 7_500, 8_500, 9_500, 10_500, 11_500})
    void controllerRestartedDuringElectionLeadsAndServes(long killAfterMicros) {
        SimulatedCluster cluster = new SimulatedCluster(1);
        cluster.clock.pass(killAfterMicros);
        cluster.killNode("n0");
        cluster.startNode("n0");
        cluster.clock.passSeconds(7);
        assertEquals("n0", cluster.leader(), "killed after microseconds: " + killAfterMicros);
        assertEquals(201, cluster.submit("n0", jobBody("req-000049")).status());
        assertTrue(cluster.reaches("n0", "req-000049", "done", 60));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
    }

    /**
     * The leader process is paused beyond its lease. When it resumes, it must neither release machines nor answer
     * from the state that it held before.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 125, 250, 375, 500, 625, 750, 875})
    void resumedLeaderDoesNotActOnStaleState(int pauseAfterMillis) {
        SimulatedCluster cluster = settled(3);
        cluster.runMicros.put("req-000054", 60_000_000L);
        cluster.submit("n0", jobBody("req-000054"));
        assertTrue(cluster.reaches("n0", "req-000054", "running", 60));
        cluster.clock.passSeconds(2);
        String oldLeader = cluster.leader();
        String other = oldLeader.equals("n0") ? "n1" : "n0";
        // The pause falls into the admission, its commit, or the start of the first task.
        cluster.submit(other, jobBody("req-000055"));
        cluster.clock.pass(pauseAfterMillis * 1_000);
        cluster.pauseNode(oldLeader);
        cluster.clock.passSeconds(8);
        assertEquals("cancelled", cluster.cancel(other, "req-000054").state());
        cluster.clock.passSeconds(17);
        int machines = cluster.cloud.machines().size();
        int released = cluster.cloud.released.size();
        cluster.resumeNode(oldLeader);
        cluster.clock.pass(300_000);
        assertFalse(cluster.controller(oldLeader).isLeader(), "paused after milliseconds: " + pauseAfterMillis);
        assertEquals(machines, cluster.cloud.machines().size());
        assertEquals(released, cluster.cloud.released.size());
        assertEquals("cancelled", cluster.poll(oldLeader, "req-000054").state());
        cluster.clock.passSeconds(20);
        cluster.checkCancelled();
        assertTrue(cluster.reaches(oldLeader, "req-000055", "done", 90));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
    }
}
