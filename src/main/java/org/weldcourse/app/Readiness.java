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

/** Whether this node should be sent users. Holds no state: it asks the store's client, the peers and the election. */
final class Readiness {
    private static final long UNREADY_AFTER_MICROS = 1_000_000;

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

    /** Whether the store answers this node, as of a moment ago: {@link StoreProbeTask} asks where nobody else does. */
    boolean reachesStore() {
        return store.failingSinceMicros() < 0;
    }

    /**
     * Whether, by the peers' own heartbeats, the store serves none of them either. Where no configured peer is heard, a
     * node can't tell an outage from being cut off, and has to assume the latter.
     */
    boolean isStoreOutageShared() {
        return settings.peers().isEmpty() || peers.storeAccess() == Peers.StoreAccess.UNAVAILABLE;
    }

    /** Whether this node serves users as a follower, which is what a leader would leave them to. */
    boolean servesUsersAsFollower() {
        return !election.isLeader() && whyUnableToServe().isEmpty();
    }

    /**
     * Answers the load balancer: 200 where users are to be sent here, else 503 with the reason. A leader's users would
     * wait behind its workers and cycles, so it leaves them to the others as long as those serve.
     */
    void handle(Reply reply) {
        Optional<String> why = whyUnableToServe();
        if (why.isEmpty() && election.isLeader() && peers.anyPeerServesUsers()) {
            why = Optional.of("leads, and the others serve users");
        }
        if (why.isEmpty()) {
            reply.send(200, Json.of("ready", true));
        } else {
            reply.refuse(503, why.get(), machineTypes.known().isEmpty() ? 1 : 2);
        }
    }

    private Optional<String> whyUnableToServe() {
        if (machineTypes.known().isEmpty()) {
            return Optional.of("machine types are not known yet");
        }
        if (!reachesStore()
                && clock.nowMicros() - store.failingSinceMicros() > UNREADY_AFTER_MICROS
                && !isStoreOutageShared()) {
            // Refused here and served elsewhere, or cut off from all: users do better there. In an outage for all,
            // leaving helps nobody.
            return Optional.of("the state service does not serve this node");
        }
        return Optional.empty();
    }
}
