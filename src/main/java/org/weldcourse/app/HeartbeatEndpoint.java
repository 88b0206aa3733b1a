package org.weldcourse.app;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.election.LeaderElection;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.http.Server.Request;
import org.weldcourse.leader.LeaderTerm;
import org.weldcourse.workers.Heartbeat;
import org.weldcourse.workers.HeartbeatCodec;
import org.weldcourse.workers.MalformedHeartbeatException;

/**
 * Receives the workers' heartbeats: passes them to the leader term on the leader, and redirects them on other nodes.
 */
final class HeartbeatEndpoint {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatEndpoint.class);
    private static final int MAX_LOGGED_BYTES = 200;

    private final String nodeName;
    private final LeaderElection election;
    private final Supplier<LeaderTerm> currentTerm;
    private boolean hasLoggedMalformed;

    /**
     * Creates the endpoint of a node.
     *
     * @param currentTerm supplies the leader term, or null while this node is not the leader
     */
    HeartbeatEndpoint(String nodeName, LeaderElection election, Supplier<LeaderTerm> currentTerm) {
        this.nodeName = nodeName;
        this.election = election;
        this.currentTerm = currentTerm;
    }

    /**
     * Answers a heartbeat: 421 with the leader's name, if known, when this node is not the leader; 400 when the
     * heartbeat is malformed; otherwise the leader term answers.
     */
    void handle(Request request, Reply reply) {
        LeaderTerm term = currentTerm.get();
        if (term == null || !election.isLeader()) {
            String leader = election.leaderName();
            reply.send(421, leader == null || leader.equals(nodeName) ? Map.of() : Json.of("foreman", leader));
            return;
        }
        Heartbeat heartbeat;
        try {
            heartbeat = HeartbeatCodec.decode(request.body());
        } catch (MalformedHeartbeatException malformed) {
            logFirstMalformed(malformed, request.body());
            reply.send(400, Json.of("error", "not a report"));
            return;
        }
        term.handleHeartbeat(heartbeat, reply);
    }

    private void logFirstMalformed(MalformedHeartbeatException malformed, byte[] body) {
        if (hasLoggedMalformed) {
            return;
        }
        hasLoggedMalformed = true;
        LOG.error(
                "malformed heartbeat ({}), later ones are not logged: {}",
                malformed.getMessage(),
                new String(body, 0, Math.min(MAX_LOGGED_BYTES, body.length), StandardCharsets.UTF_8));
    }
}
