package org.weldcourse.election;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.http.Json;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.store.Transaction;

/**
 * Leader election over the store, and renewal of the leader's lease. The key {@code leader} is attached to a lease of
 * the store. The key {@code epoch} holds the fencing token, which increases with every election: workers obey the
 * highest token that they have seen, and the leader's commits are conditional on the revision of that key.
 *
 * <p>All methods run on the event loop of the {@link Timers}; times are microseconds of the {@link Clock}.
 */
public final class LeaderElection extends ScheduledTask {
    /** The key that holds the fencing token in the store. */
    public static final String FENCING_TOKEN_KEY = "epoch";

    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
    private static final String LEADER_KEY = "leader";
    /** Upper bound of the clock drift, as a fraction; the leader treats its lease as shorter by this fraction. */
    private static final double MAX_CLOCK_DRIFT = 0.001;

    private static final long RETRY_MICROS = 300_000;
    private static final long WATCH_TIMEOUT_MICROS = 20_000_000;

    private final String nodeName;
    private final Store store;
    private final long leaseMicros;
    private final Listener listener;

    private Role role = Role.CANDIDATE;
    private String leaderName;
    /** The lease of the known leader's key, or 0 once this node has revoked it. */
    private long leaderLeaseId;

    private long ownLeaseId;
    private long fencingToken;
    private long fencingTokenRevision;
    private long leaseExpiryMicros;
    private boolean requestInFlight;
    /** Counts role changes, so that responses to requests from an earlier role are ignored. */
    private int roleChanges;

    private enum Role {
        CANDIDATE,
        FOLLOWER,
        LEADER
    }

    /** Notified of role changes. {@code deposed} always follows {@code elected} before the next {@code elected}. */
    public interface Listener {
        /**
         * This node became the leader.
         *
         * @param fencingToken higher than the token of any earlier leader
         * @param fencingTokenRevision the store's revision of the key {@code epoch}; the leader's commits are
         *     conditional on it
         */
        void elected(long fencingToken, long fencingTokenRevision);

        /** This node is no longer the leader. */
        void deposed();
    }

    /**
     * Creates a candidate that takes part in elections once it is started.
     *
     * @param nodeName this node's name, as written in the key {@code leader}
     * @param leaseMicros the length of the leader's lease, in microseconds
     */
    public LeaderElection(
            String nodeName, Store store, Clock clock, Timers timers, long leaseMicros, Listener listener) {
        super("leader election", clock, timers);
        this.nodeName = nodeName;
        this.store = store;
        this.leaseMicros = leaseMicros;
        this.listener = listener;
    }

    /** The name of the leader that this node knows, or null. */
    public String leaderName() {
        return leaderName;
    }

    /** Whether this node considers itself the leader, even if its lease has expired. */
    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /**
     * Whether this node is the leader and its lease is valid, so that no other node can have been elected. The lease is
     * counted from the time at which its renewal was sent.
     */
    public boolean isLeaseValid() {
        return role == Role.LEADER && clock.nowMicros() < leaseExpiryMicros;
    }

    /** The earliest time at which this node's lease may expire in the store, in microseconds of the clock. */
    public long leaseExpiryMicros() {
        return leaseExpiryMicros;
    }

    /** Steps down after a newer fencing token was seen, or after a commit failed its condition on the token. */
    public void fencingTokenSuperseded() {
        if (role == Role.LEADER) {
            stepDown("a newer fencing token was seen");
        }
    }

    /** The fencing token of this process's last term as leader, or 0. */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * Handles a peer's report that it is the leader. A higher token means that this node was deposed without noticing
     * it: this node steps down.
     */
    public void peerReportsLeadership(long peerFencingToken) {
        if (role == Role.LEADER && peerFencingToken > fencingToken) {
            stepDown("a peer is leader under fencing token " + peerFencingToken);
        }
    }

    /**
     * Revokes the leader's lease after its process appears to have exited, so that failover doesn't wait for the lease
     * to expire. If the process is alive, it loses leadership without harm: its commits are conditional on the fencing
     * token's revision, and workers obey the highest token.
     */
    public void peerProcessEnded(String name) {
        if (role == Role.FOLLOWER && name.equals(leaderName) && leaderLeaseId != 0) {
            LOG.info("leader {} appears to have exited: revoking its lease for a failover", name);
            long revoked = leaderLeaseId;
            leaderLeaseId = 0;
            store.revokeLease(revoked, outcome -> {});
        }
    }

    @Override
    protected long step() {
        if (requestInFlight) {
            return -1;
        }
        if (role == Role.LEADER) {
            renewLease();
        } else {
            findLeader();
        }
        return -1;
    }

    /** The part of a lease duration that this node can rely on if its clock drifts. */
    private static long subtractClockDrift(long durationMicros) {
        return durationMicros - (long) (durationMicros * MAX_CLOCK_DRIFT);
    }

    private void scheduleStep(long delayMicros) {
        requestInFlight = false;
        wakeIn(delayMicros);
    }

    private void renewLease() {
        requestInFlight = true;
        int roleChangesWhenSent = roleChanges;
        long sentMicros = clock.nowMicros();
        store.renewLease(ownLeaseId, leaseMicros / 3, outcome -> {
            if (roleChangesWhenSent != roleChanges) {
                return;
            }
            if (outcome == Outcome.OK) {
                leaseExpiryMicros = sentMicros + subtractClockDrift(leaseMicros);
                // Counted from the send time, so that a response that is read late does not delay the next renewal.
                scheduleStep(Math.max(0, sentMicros + leaseMicros / 4 - clock.nowMicros()));
            } else if (outcome == Outcome.REFUSED || outcome == Outcome.INVALID) {
                stepDown("lease expired: the store refused its renewal");
            } else {
                scheduleStep(RETRY_MICROS);
            }
        });
    }

    private void stepDown(String reason) {
        LOG.info("fencing token {}: stepped down as leader: {}", fencingToken, reason);
        roleChanges++;
        role = Role.CANDIDATE;
        leaderName = null;
        listener.deposed();
        scheduleStep(0);
    }

    private void findLeader() {
        requestInFlight = true;
        store.list(LEADER_KEY, listing -> {
            if (listing.outcome() != Outcome.OK) {
                scheduleStep(RETRY_MICROS);
                return;
            }
            if (listing.entries().isEmpty()) {
                leaderName = null;
                campaign();
                return;
            }
            Store.Entry leaderEntry = listing.entries().get(0);
            String name = Json.text(leaderEntry.value(), "name");
            if (nodeName.equals(name)) {
                // Names are unique and this process is not the leader, so its previous incarnation wrote the key.
                store.revokeLease(
                        leaderEntry.leaseId(), outcome -> scheduleStep(outcome == Outcome.OK ? 0 : RETRY_MICROS));
                return;
            }
            leaderLeaseId = leaderEntry.leaseId();
            follow(name, listing.revision());
        });
    }

    private void follow(String name, long revision) {
        role = Role.FOLLOWER;
        if (!name.equals(leaderName)) {
            LOG.info("following leader {}", name);
        }
        leaderName = name;
        store.watch(LEADER_KEY, revision, WATCH_TIMEOUT_MICROS, events -> {
            if (events.outcome() == Outcome.OK && events.events().isEmpty()) {
                follow(name, Math.max(revision, events.revision()));
            } else {
                scheduleStep(events.outcome() == Outcome.OK || events.outcome() == Outcome.REFUSED ? 0 : RETRY_MICROS);
            }
        });
    }

    private void campaign() {
        store.get(FENCING_TOKEN_KEY, read -> {
            if (read.outcome() != Outcome.OK && read.outcome() != Outcome.REFUSED) {
                scheduleStep(RETRY_MICROS);
                return;
            }
            long lastFencingToken =
                    read.entry() == null ? 0 : Json.integer(read.entry().value(), "epoch", 0);
            long lastRevision = read.entry() == null ? 0 : read.entry().modRevision();
            long sentMicros = clock.nowMicros();
            store.grantLease(leaseMicros, grant -> {
                if (grant.outcome() != Outcome.OK) {
                    scheduleStep(RETRY_MICROS);
                    return;
                }
                claimLeadership(lastFencingToken + 1, lastRevision, grant.leaseId(), sentMicros);
            });
        });
    }

    /** Writes the key {@code leader} with a compare-and-swap if it is absent and the fencing token is unchanged. */
    private void claimLeadership(long newFencingToken, long lastRevision, long newLeaseId, long sentMicros) {
        Transaction txn = new Transaction()
                .ifModRevision(LEADER_KEY, 0)
                .ifModRevision(FENCING_TOKEN_KEY, lastRevision)
                .put(LEADER_KEY, Json.of("name", nodeName, "token", newFencingToken), newLeaseId)
                .put(FENCING_TOKEN_KEY, Json.of("epoch", newFencingToken));
        store.commit(txn, commit -> {
            if (commit.outcome() != Outcome.OK) {
                // A commit without a response may still be applied; revoking the lease then deletes the key.
                store.revokeLease(
                        newLeaseId, revocation -> scheduleStep(commit.outcome() == Outcome.REFUSED ? 0 : RETRY_MICROS));
                return;
            }
            roleChanges++;
            role = Role.LEADER;
            leaderName = nodeName;
            ownLeaseId = newLeaseId;
            fencingToken = newFencingToken;
            fencingTokenRevision = commit.revision();
            leaseExpiryMicros = sentMicros + subtractClockDrift(leaseMicros);
            LOG.info("elected leader, fencing token {}", fencingToken);
            listener.elected(fencingToken, fencingTokenRevision);
            scheduleStep(leaseMicros / 4);
        });
    }
}
