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
 * Leader election over the consensus-backed key-value store, and renewal of the leader's lease. The key {@code leader}
 * hangs on a lease of the store; the key {@code epoch} holds the fencing token, which rises with every election: workers
 * obey the highest one they have seen, and the leader's commits are guarded by the version of that key.
 *
 * <p>All methods run on the loop of the {@link Timers} given; times are microseconds of the given {@link Clock}.
 */
public final class LeaderElection extends ScheduledTask {
    /** The key of the store that holds the fencing token. */
    public static final String FENCING_TOKEN_KEY = "epoch";

    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);
    private static final String LEADER_KEY = "leader";
    /** The part by which a steady clock may run fast, with room to spare: the lease is taken as that much shorter. */
    private static final double CLOCK_DRIFT = 0.001;

    private static final long RETRY_MICROS = 300_000;
    private static final long WATCH_MICROS = 20_000_000;

    private final String nodeName;
    private final Store store;
    private final long leaseMicros;
    private final Listener listener;

    private Role role = Role.CANDIDATE;
    private String leaderName;
    /** The lease that the known leader's key hangs on, or 0 once it was revoked from here. */
    private long leaderLeaseId;

    private long ownLeaseId;
    private long fencingToken;
    private long fencingTokenVersion;
    private long leaseExpiryMicros;
    private boolean requestInFlight;
    /** Counts changes of role, so that an answer to a request of an earlier role is ignored. */
    private int roleChanges;

    private enum Role {
        CANDIDATE,
        FOLLOWER,
        LEADER
    }

    /** Told of changes of role; {@code elected} is followed by {@code deposed} before the next {@code elected}. */
    public interface Listener {
        /**
         * This node is the leader now.
         *
         * @param fencingToken higher than that of any earlier leader
         * @param fencingTokenVersion the store's version of the key {@code epoch} that holds the token, which guards
         *     the leader's commits
         */
        void elected(long fencingToken, long fencingTokenVersion);

        /** This node is no longer the leader. */
        void deposed();
    }

    /**
     * A candidate that stands for election once it is started.
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

    /** The leader's name as far as this node knows; null when it doesn't know. */
    public String leaderName() {
        return leaderName;
    }

    /** Whether this node believes that it is the leader, whether or not its lease is still valid. */
    public boolean isLeader() {
        return role == Role.LEADER;
    }

    /** Whether nobody else can have been elected yet: the lease is counted from the sending of its renewal. */
    public boolean isLeaseValid() {
        return role == Role.LEADER && clock.nowMicros() < leaseExpiryMicros;
    }

    /** The earliest time of the own lease's expiry by what is known here, in microseconds of the clock. */
    public long leaseExpiryMicros() {
        return leaseExpiryMicros;
    }

    /** A newer fencing token was seen, or a commit failed on its guard of the token: step down and look again. */
    public void fencingTokenSuperseded() {
        if (role == Role.LEADER) {
            stepDown("a newer fencing token was seen");
        }
    }

    /** The highest fencing token that this process was the leader under, or 0. */
    public long fencingToken() {
        return fencingToken;
    }

    /** A peer says that it is the leader: when its token is higher, this node was deposed and can't have heard of it. */
    public void peerReportsLeadership(long peerFencingToken) {
        if (role == Role.LEADER && peerFencingToken > fencingToken) {
            stepDown("a peer is leader under fencing token " + peerFencingToken);
        }
    }

    /**
     * The leader's process seems to have ended: its lease is revoked, so that failover need not wait for the lease
     * expiry. Should it live after all, it loses its place and no more: its commits are guarded by the fencing token's
     * version, and workers obey the highest token.
     */
    public void peerProcessEnded(String name) {
        if (role == Role.FOLLOWER && name.equals(leaderName) && leaderLeaseId != 0) {
            LOG.info("leader {} seems to have ended: its lease is revoked for a failover", name);
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
            lookForLeader();
        }
        return -1;
    }

    /** A lease's length as far as it can be relied on here: less what this clock may drift meanwhile. */
    private static long lessClockDrift(long durationMicros) {
        return durationMicros - (long) (durationMicros * CLOCK_DRIFT);
    }

    private void stepAgainIn(long delayMicros) {
        requestInFlight = false;
        wakeIn(delayMicros);
    }

    private void renewLease() {
        requestInFlight = true;
        int roleChangesAtSending = roleChanges;
        long sentMicros = clock.nowMicros();
        store.renewLease(ownLeaseId, leaseMicros / 3, outcome -> {
            if (roleChangesAtSending != roleChanges) {
                return;
            }
            if (outcome == Outcome.OK) {
                leaseExpiryMicros = sentMicros + lessClockDrift(leaseMicros);
                // Counted from its sending: a node that reads its answers late must not renew the later for it.
                stepAgainIn(Math.max(0, sentMicros + leaseMicros / 4 - clock.nowMicros()));
            } else if (outcome == Outcome.REFUSED || outcome == Outcome.INVALID) {
                stepDown("lease expiry: the store refused the lease renewal");
            } else {
                stepAgainIn(RETRY_MICROS);
            }
        });
    }

    private void stepDown(String why) {
        LOG.info("fencing token {}: stepped down as leader: {}", fencingToken, why);
        roleChanges++;
        role = Role.CANDIDATE;
        leaderName = null;
        listener.deposed();
        stepAgainIn(0);
    }

    private void lookForLeader() {
        requestInFlight = true;
        store.list(LEADER_KEY, listing -> {
            if (listing.outcome() != Outcome.OK) {
                stepAgainIn(RETRY_MICROS);
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
                // Only this process bears the name, and it is not the leader: the key is an earlier incarnation's.
                store.revokeLease(
                        leaderEntry.leaseId(), outcome -> stepAgainIn(outcome == Outcome.OK ? 0 : RETRY_MICROS));
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
        store.watch(LEADER_KEY, revision, WATCH_MICROS, events -> {
            if (events.outcome() == Outcome.OK && events.events().isEmpty()) {
                follow(name, Math.max(revision, events.revision()));
            } else {
                stepAgainIn(events.outcome() == Outcome.OK || events.outcome() == Outcome.REFUSED ? 0 : RETRY_MICROS);
            }
        });
    }

    private void campaign() {
        store.get(FENCING_TOKEN_KEY, read -> {
            if (read.outcome() != Outcome.OK && read.outcome() != Outcome.REFUSED) {
                stepAgainIn(RETRY_MICROS);
                return;
            }
            long lastFencingToken =
                    read.entry() == null ? 0 : Json.integer(read.entry().value(), "epoch", 0);
            long lastVersion = read.entry() == null ? 0 : read.entry().modRevision();
            long sentMicros = clock.nowMicros();
            store.grantLease(leaseMicros, grant -> {
                if (grant.outcome() != Outcome.OK) {
                    stepAgainIn(RETRY_MICROS);
                    return;
                }
                claimLeadership(lastFencingToken + 1, lastVersion, grant.leaseId(), sentMicros);
            });
        });
    }

    /** Compare-and-swap: takes the key {@code leader} if it is free and the fencing token is still the one read. */
    private void claimLeadership(long newFencingToken, long lastVersion, long newLeaseId, long sentMicros) {
        Transaction txn = new Transaction()
                .ifModRevision(LEADER_KEY, 0)
                .ifModRevision(FENCING_TOKEN_KEY, lastVersion)
                .put(LEADER_KEY, Json.of("name", nodeName, "token", newFencingToken), newLeaseId)
                .put(FENCING_TOKEN_KEY, Json.of("epoch", newFencingToken));
        store.commit(txn, commit -> {
            if (commit.outcome() != Outcome.OK) {
                // Without an answer it may still be carried out: ending the lease undoes that.
                store.revokeLease(
                        newLeaseId, ended -> stepAgainIn(commit.outcome() == Outcome.REFUSED ? 0 : RETRY_MICROS));
                return;
            }
            roleChanges++;
            role = Role.LEADER;
            leaderName = nodeName;
            ownLeaseId = newLeaseId;
            fencingToken = newFencingToken;
            fencingTokenVersion = commit.revision();
            leaseExpiryMicros = sentMicros + lessClockDrift(leaseMicros);
            LOG.info("elected leader, fencing token {}", fencingToken);
            listener.elected(fencingToken, fencingTokenVersion);
            stepAgainIn(leaseMicros / 4);
        });
    }
}
