package org.weldcourse.app;

import java.util.Optional;
import org.weldcourse.election.LeaderElection;
import org.weldcourse.fleet.MachineTypeCatalog;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.peers.Peers;
import org.weldcourse.runtime.Clock;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;

/** Decides whether the load balancer should send users to this node. It keeps no state of its own. */
final class Readiness {
    private static final long STORE_OUTAGE_TOLERANCE_MICROS = 1_000_000;

    private final Settings settings;
    private final Clock clock;
    private final Store store;
    private final Peers peers;
    private final MachineTypeCatalog machineTypes;
    private final LeaderElection election;

    Readiness(
            Settings settings,
            Clock clock,
            Store store,
            Peers peers,
            MachineTypeCatalog machineTypes,
            LeaderElection election) {
        this.settings = settings;
        this.clock = clock;
        this.store = store;
        this.peers = peers;
        this.machineTypes = machineTypes;
        this.election = election;
    }

    /**
     * Whether the store answers this node's requests; {@link StoreProbeTask} keeps this up to date while there are no
     * other requests.
     */
    boolean isStoreReachable() {
        return store.failingSinceMicros() < 0;
    }

    /**
     * Whether the peers report in their heartbeats that the store does not serve them either. A node that hears from
     * none of its configured peers can't tell an outage from its own isolation, and assumes isolation.
     */
    boolean isStoreOutageShared() {
        return settings.peers().isEmpty() || peers.storeAccess() == Peers.StoreAccess.UNAVAILABLE;
    }

    /** Whether this node is not the leader and can serve users; a leader leaves its users to such nodes. */
    boolean servesUsersAsStandby() {
        return !election.isLeader() && unreadyReason().isEmpty();
    }

    /**
     * Answers the load balancer's health check: 200 if users should be sent to this node, else 503 with the reason. On
     * the leader, user requests would wait for heartbeats and admission cycles, so it is not ready while a peer serves
     * users.
     */
    void handle(Reply reply) {
        Optional<String> reason = unreadyReason();
        if (reason.isEmpty() && election.isLeader() && peers.anyPeerServesUsers()) {
            reason = Optional.of("leads, and the others serve users");
        }
        if (reason.isEmpty()) {
            reply.send(200, Json.of("ready", true));
        } else {
            reply.refuse(503, reason.get(), machineTypes.known().isEmpty() ? 1 : 2);
        }
    }

    private Optional<String> unreadyReason() {
        if (machineTypes.known().isEmpty()) {
            return Optional.of("machine types are not known yet");
        }
        if (!isStoreReachable()
                && clock.nowMicros() - store.failingSinceMicros() > STORE_OUTAGE_TOLERANCE_MICROS
                && !isStoreOutageShared()) {
            // Either the store serves other nodes, or this node is isolated: in both cases users are better served
            // elsewhere. If the store fails for all nodes, the node stays ready, since no other could serve users
            // either.
            return Optional.of("the state service does not serve this node");
        }
        return Optional.empty();
    }
}
