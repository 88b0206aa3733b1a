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

/** Tests of {@link Peers}. */
class PeersTest {
    @Test
    void framesReadBackWholeOrNotAtAll() throws Exception {
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
    void followersNeedNotWaitForTheLeaseOfAnEndedLeader() {
        SimulatedCluster world = new SimulatedCluster(3);
        world.clock.passSeconds(2);
        String old = world.leader();
        world.killNode(old);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            if (!node.equals(old)) {
                world.controller(node).peers().connectionsRefused(old);
            }
        }
        world.clock.passSeconds(0.5);
        assertNotNull(world.leader());
    }

    @Test
    void refusalsByAllPeersAtOnceDeposeNobody() {
        SimulatedCluster world = new SimulatedCluster(3);
        world.clock.passSeconds(2);
        String leader = world.leader();
        String other = leader.equals("n0") ? "n1" : "n0";
        world.cutFromPeers(other);
        world.clock.passSeconds(3);
        world.controller(other).peers().connectionsRefused(leader);
        world.clock.passSeconds(2);
        assertEquals(leader, world.leader());
    }

    @Test
    void leaderThatIsAliveLosesItsPlaceAndNothingElse() {
        SimulatedCluster world = new SimulatedCluster(3);
        world.clock.passSeconds(2);
        world.runMicros.put("req-000001", 30_000_000L);
        world.submit("n0", JobBodies.jobBody("req-000001"));
        assertTrue(world.reaches("n0", "req-000001", "running", 60));
        String old = world.leader();
        String other = old.equals("n0") ? "n1" : "n0";
        world.controller(other).peers().connectionsRefused(old);
        assertTrue(world.reaches("n2", "req-000001", "done", 90));
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), world.starts.toString());
    }

    @Test
    void deposedLeaderYieldsOnAPeersWordAlone() {
        SimulatedCluster world = new SimulatedCluster(3);
        world.clock.passSeconds(2);
        String old = world.leader();
        world.cutFromStore(old);
        world.controller(old).peers().heartbeatReceived(new PeerStatus("nx", 99, true, true, false));
        assertFalse(world.controller(old).leads());
    }

    @Test
    void leaderLeavesUsersToTheOthersAsLongAsThoseServe() {
        SimulatedCluster world = new SimulatedCluster(3);
        world.clock.passSeconds(2);
        String leader = world.leader();
        List<String> others =
                Stream.of("n0", "n1", "n2").filter(name -> !name.equals(leader)).toList();
        assertEquals(200, ready(world, leader), "the others may not be found yet");
        world.clock.passSeconds(20);
        assertEquals(503, ready(world, leader));
        assertEquals(200, ready(world, others.get(0)));
        world.killNode(others.get(0));
        world.clock.passSeconds(5);
        assertEquals(503, ready(world, leader), "one is left");
        world.cutFromStore(others.get(1));
        world.clock.passSeconds(5);
        assertEquals(200, ready(world, leader), "none is left that serves");
        world.healToStore(others.get(1));
        world.clock.passSeconds(5);
        assertEquals(200, ready(world, leader), "it may not be found yet");
        world.clock.passSeconds(20);
        assertEquals(503, ready(world, leader));
    }

    private static int ready(SimulatedCluster world, String node) {
        return world.ask(node, "GET", "/ready", new byte[0]).status();
    }

    @Test
    void nodeThatAloneIsRefusedSendsUsersElsewhere() {
        SimulatedCluster world = new SimulatedCluster(3);
        world.clock.passSeconds(2);
        world.store.down(true);
        world.clock.passSeconds(8);
        assertEquals(200, world.ask("n0", "GET", "/ready", new byte[0]).status(), "an outage for all");
        world.store.down(false);
        world.clock.passSeconds(3);
        world.cutFromStore("n0");
        world.clock.passSeconds(8);
        assertEquals(503, world.ask("n0", "GET", "/ready", new byte[0]).status());
        world.healToStore("n0");
        world.clock.passSeconds(3);
        assertEquals(200, world.ask("n0", "GET", "/ready", new byte[0]).status());
    }
}
