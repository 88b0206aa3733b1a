package org.weldcourse.peers;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.runtime.Clock;

/**
 * Tracks the other controllers by their heartbeats and supplies this node's own heartbeat. Not thread-safe: all calls
 * must come from the node's event loop. Times are microseconds of the given clock.
 */
public final class Peers {
    /** Older heartbeats are ignored. */
    private static final long MAX_HEARTBEAT_AGE_MICROS = 2_000_000;
    /**
     * The delay until the load balancer sends users to a node that serves again. It may be longer for a node that
     * failed several times recently.
     */
    private static final long LOAD_BALANCER_DELAY_MICROS = 15_000_000;

    private final Clock clock;
    private final LocalNode node;
    private final Map<String, ReceivedHeartbeat> latestByPeer = new HashMap<>();

    /**
     * {@code servesSinceMicros} is the time from which the peer has continuously reported that it serves users, or -1.
     */
    private record ReceivedHeartbeat(PeerStatus status, long receivedMicros, long servesSinceMicros) {
        boolean isRecentAt(long nowMicros) {
            return nowMicros - receivedMicros < MAX_HEARTBEAT_AGE_MICROS;
        }

        boolean servesUsersAt(long nowMicros) {
            return servesSinceMicros >= 0 && isRecentAt(nowMicros);
        }
    }

    /** The node that this instance belongs to. */
    public interface LocalNode {
        /** The status of this node, to be sent to its peers. */
        PeerStatus status();

        /** Called when a peer reports that it is the leader under this fencing token. */
        void peerIsLeader(String name, long fencingToken);

        /** Called when a known peer closed its connection and refuses new ones: its process has most likely ended. */
        void peerProcessEnded(String name);
    }

    /** Creates an instance that has received no heartbeats yet. */
    public Peers(Clock clock, LocalNode node) {
        this.clock = clock;
        this.node = node;
    }

    /** The status that this node sends to its peers. */
    public PeerStatus ownStatus() {
        return node.status();
    }

    /** Processes a heartbeat of a peer. */
    public void heartbeatReceived(PeerStatus status) {
        long nowMicros = clock.nowMicros();
        ReceivedHeartbeat previous = latestByPeer.get(status.name());
        boolean stillServes = previous != null && previous.servesUsersAt(nowMicros);
        latestByPeer.put(
                status.name(),
                new ReceivedHeartbeat(
                        status,
                        nowMicros,
                        !status.servesUsers() ? -1 : stillServes ? previous.servesSinceMicros : nowMicros));
        if (status.isLeader()) {
            node.peerIsLeader(status.name(), status.fencingToken());
        }
    }

    /**
     * Handles repeated refusals of connections by a peer. If the heartbeats of all other known peers stopped as well, a
     * firewall between the nodes is the more likely cause than the end of the process. Reporting the end would then
     * depose a running leader without need; a leader that did end is detected soon by the expiry of its lease.
     */
    public void connectionsRefused(String name) {
        latestByPeer.remove(name);
        if (latestByPeer.isEmpty() || storeAccess() != StoreAccess.UNKNOWN) {
            node.peerProcessEnded(name);
        }
    }

    /** Whether a peer has served users for long enough that the load balancer should send requests to it. */
    public boolean anyPeerServesUsers() {
        long nowMicros = clock.nowMicros();
        for (ReceivedHeartbeat heartbeat : latestByPeer.values()) {
            if (heartbeat.servesUsersAt(nowMicros)
                    && nowMicros - heartbeat.servesSinceMicros >= LOAD_BALANCER_DELAY_MICROS) {
                return true;
            }
        }
        return false;
    }

    /** Whether the store serves other nodes, as far as this node knows. */
    public enum StoreAccess {
        /** The store serves at least one peer. */
        AVAILABLE,
        /** The store serves none of the peers that sent a recent heartbeat. */
        UNAVAILABLE,
        /** No peer sent a recent heartbeat. */
        UNKNOWN
    }

    /** Whether the store serves any peer, according to their recent heartbeats. */
    public StoreAccess storeAccess() {
        StoreAccess access = StoreAccess.UNKNOWN;
        for (ReceivedHeartbeat heartbeat : latestByPeer.values()) {
            if (heartbeat.isRecentAt(clock.nowMicros())) {
                if (heartbeat.status.reachesStore()) {
                    return StoreAccess.AVAILABLE;
                }
                access = StoreAccess.UNAVAILABLE;
            }
        }
        return access;
    }
}
