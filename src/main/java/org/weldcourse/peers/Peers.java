package org.weldcourse.peers;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.runtime.Clock;

/**
 * What this node knows of the other controllers by their own heartbeats, and what it says of itself. Not thread-safe:
 * all calls come on the node's event loop. Times are microseconds of the given clock.
 */
public final class Peers {
    /** A heartbeat older than this counts for nothing. */
    private static final long FRESH_MICROS = 2_000_000;
    /** A node that comes back is not sent users at once; by then it is, unless it went away several times of late. */
    private static final long FOUND_MICROS = 15_000_000;

    private final Clock clock;
    private final LocalNode node;
    private final Map<String, Heard> heartbeatReceived = new HashMap<>();

    /** {@code servesSinceMicros}: since when it has said without a pause that it serves users, or -1. */
    private record Heard(PeerStatus status, long atMicros, long servesSinceMicros) {
        boolean isFreshAt(long nowMicros) {
            return nowMicros - atMicros < FRESH_MICROS;
        }

        boolean servesUsersAt(long nowMicros) {
            return servesSinceMicros >= 0 && isFreshAt(nowMicros);
        }
    }

    /** The node that speaks and listens. */
    public interface LocalNode {
        /** This node's own status. */
        PeerStatus status();

        /** A peer says that it is the leader under this fencing token. */
        void peerIsLeader(String name, long fencingToken);

        /** A peer that was there closed its connection and refuses new ones: its process ended, most likely. */
        void peerProcessEnded(String name);
    }

    /** A view of peers of which nothing is known yet. */
    public Peers(Clock clock, LocalNode node) {
        this.clock = clock;
        this.node = node;
    }

    /** What this node tells the others. */
    public PeerStatus ownStatus() {
        return node.status();
    }

    /** Takes in a peer's heartbeat. */
    public void heartbeatReceived(PeerStatus status) {
        long nowMicros = clock.nowMicros();
        Heard before = heartbeatReceived.get(status.name());
        boolean goesOn = before != null && before.servesUsersAt(nowMicros);
        heartbeatReceived.put(
                status.name(),
                new Heard(
                        status, nowMicros, !status.servesUsers() ? -1 : goesOn ? before.servesSinceMicros : nowMicros));
        if (status.isLeader()) {
            node.peerIsLeader(status.name(), status.fencingToken());
        }
    }

    /**
     * A peer refuses connections. When all others fell silent with it, a filter between the nodes is the likelier cause:
     * a leader that lives would be deposed for nothing, and its lease tells soon enough.
     */
    public void connectionsRefused(String name) {
        heartbeatReceived.remove(name);
        if (heartbeatReceived.isEmpty() || storeAccess() != StoreAccess.UNKNOWN) {
            node.peerProcessEnded(name);
        }
    }

    /** Whether one of the others has served users for so long that they should find it. */
    public boolean anyPeerServesUsers() {
        long nowMicros = clock.nowMicros();
        for (Heard one : heartbeatReceived.values()) {
            if (one.servesUsersAt(nowMicros) && nowMicros - one.servesSinceMicros >= FOUND_MICROS) {
                return true;
            }
        }
        return false;
    }

    /** What the others' fresh heartbeats say of the store. */
    public enum StoreAccess {
        /** It serves one of them. */
        AVAILABLE,
        /** It serves none of those that are heard. */
        UNAVAILABLE,
        /** No peer is heard. */
        UNKNOWN
    }

    /** What the peers' fresh heartbeats say of the store. */
    public StoreAccess storeAccess() {
        StoreAccess access = StoreAccess.UNKNOWN;
        for (Heard one : heartbeatReceived.values()) {
            if (one.isFreshAt(clock.nowMicros())) {
                if (one.status.reachesStore()) {
                    return StoreAccess.AVAILABLE;
                }
                access = StoreAccess.UNAVAILABLE;
            }
        }
        return access;
    }
}
