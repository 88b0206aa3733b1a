package org.weldcourse.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.JobBodies;
import org.weldcourse.simulation.SimulatedCluster;

/** Tests of {@link Peers} and {@link PeerStatus}. */
class PeersTest {
    @Test
    void framesDecodeOnlyWhenCompleteAndValid() throws Exception {
        PeerStatus status = new PeerStatus("node-1", 42, true, false, true);
        ByteBuffer frame = status.encode();
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        for (int cut = 0; cut < bytes.length; cut++) {
            assertNull(PeerStatus.decode(ByteBuffer.wrap(bytes, 0, cut)));
        }
        assertEquals(status, PeerStatus.decode(ByteBuffer.wrap(bytes)));
        bytes[2] = 9;
        assertThrows(PeerStatus.MalformedFrameException.class, () -> PeerStatus.decode(ByteBuffer.wrap(bytes)));
        assertThrows(
                PeerStatus.MalformedFrameException.class,
                () -> PeerStatus.decode(ByteBuffer.wrap(new byte[] {127, 0})));
    }

    @Test
    void standbysTakeOverFromAnEndedLeaderBeforeItsLeaseExpires() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.clock.passSeconds(2);
        String old = cluster.leader();
        cluster.killNode(old);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            if (!node.equals(old)) {
                cluster.controller(node).peers().connectionsRefused(old);
            }
        }
        cluster.clock.passSeconds(0.5);
        assertNotNull(cluster.leader());
    }

    @Test
    void refusedConnectionsWithoutAnyHeartbeatsDoNotDeposeTheLeader() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.clock.passSeconds(2);
        String leader = cluster.leader();
        String other = leader.equals("n0") ? "n1" : "n0";
        cluster.cutFromPeers(other);
        cluster.clock.passSeconds(3);
        cluster.controller(other).peers().connectionsRefused(leader);
        cluster.clock.passSeconds(2);
        assertEquals(leader, cluster.leader());
    }

    @Test
    void falselyDeposedLeaderLosesNoTasks() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.clock.passSeconds(2);
        cluster.runMicros.put("req-000001", 30_000_000L);
        cluster.submit("n0", JobBodies.jobBody("req-000001"));
        assertTrue(cluster.reaches("n0", "req-000001", "running", 60));
        String old = cluster.leader();
        String other = old.equals("n0") ? "n1" : "n0";
        cluster.controller(other).peers().connectionsRefused(old);
        assertTrue(cluster.reaches("n2", "req-000001", "done", 90));
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
    }

    @Test
    void leaderStepsDownOnAPeersNewerTokenWithoutTheStore() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.clock.passSeconds(2);
        String old = cluster.leader();
        cluster.cutFromStore(old);
        cluster.controller(old).peers().heartbeatReceived(new PeerStatus("nx", 99, true, true, false));
        assertFalse(cluster.controller(old).isLeader());
    }

    @Test
    void leaderIsNotReadyWhileAStandbyServesUsers() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.clock.passSeconds(2);
        String leader = cluster.leader();
        List<String> others =
                Stream.of("n0", "n1", "n2").filter(name -> !name.equals(leader)).toList();
        assertEquals(200, readyStatus(cluster, leader), "the load balancer may not send users to the others yet");
        cluster.clock.passSeconds(20);
        assertEquals(503, readyStatus(cluster, leader));
        assertEquals(200, readyStatus(cluster, others.get(0)));
        cluster.killNode(others.get(0));
        cluster.clock.passSeconds(5);
        assertEquals(503, readyStatus(cluster, leader), "one standby still serves");
        cluster.cutFromStore(others.get(1));
        cluster.clock.passSeconds(5);
        assertEquals(200, readyStatus(cluster, leader), "no standby serves");
        cluster.healStoreLink(others.get(1));
        cluster.clock.passSeconds(5);
        assertEquals(200, readyStatus(cluster, leader), "the load balancer may not send users to it yet");
        cluster.clock.passSeconds(20);
        assertEquals(503, readyStatus(cluster, leader));
    }

    private static int readyStatus(SimulatedCluster cluster, String node) {
        return cluster.request(node, "GET", "/ready", new byte[0]).status();
    }

    @Test
    void nodeThatAloneLosesTheStoreIsNotReady() {
        SimulatedCluster cluster = new SimulatedCluster(3);
        cluster.clock.passSeconds(2);
        cluster.store.down(true);
        cluster.clock.passSeconds(8);
        assertEquals(
                200, cluster.request("n0", "GET", "/ready", new byte[0]).status(), "the store is down for all nodes");
        cluster.store.down(false);
        cluster.clock.passSeconds(3);
        cluster.cutFromStore("n0");
        cluster.clock.passSeconds(8);
        assertEquals(503, cluster.request("n0", "GET", "/ready", new byte[0]).status());
        cluster.healStoreLink("n0");
        cluster.clock.passSeconds(3);
        assertEquals(200, cluster.request("n0", "GET", "/ready", new byte[0]).status());
    }
}
