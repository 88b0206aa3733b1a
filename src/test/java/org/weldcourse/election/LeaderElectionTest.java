package org.weldcourse.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.FakeClock;
import org.weldcourse.store.Store;

/**
 * Guards against a leader losing its lease because it reads the responses to renewals late, as happens when the first
 * heartbeats after a failover take up its processor: a late response must not delay the next renewal.
 */
class LeaderElectionTest {
    private static final long LEASE_MICROS = 4_000_000;

    private final FakeClock time = new FakeClock();
    private int renewals;
    private long renewalDelayMicros = 1_000;
    private LeaderElection election;

    @BeforeEach
    void lead() {
        election = new LeaderElection(
                "n", new Store(this::answer, time, "state"), time, time, LEASE_MICROS, new LeaderElection.Listener() {
                    @Override
                    public void elected(long fencingToken, long fencingTokenRevision) {}

                    @Override
                    public void deposed() {}
                });
        election.start();
        time.passSeconds(1);
        assertTrue(election.isLeader());
    }

    private void answer(HttpClient.Call call, HttpClient.Callback done) {
        boolean renewal = call.path().endsWith("/extend");
        assertEquals(renewal, call.dedicatedConnection(), call.path());
        if (renewal) {
            renewals++;
        }
        HttpClient.Response answer = call.path().startsWith("/store/")
                ? new HttpClient.Response(404, Map.of())
                : new HttpClient.Response(200, Json.of("permit", 1L, "ledger", 1L, "pairs", List.of()));
        time.after(renewal ? renewalDelayMicros : 1_000, () -> done.accept(answer));
    }

    /** Counts the renewals in a period in which each response is read after {@code responseDelayMicros}. */
    private int renewalsIn(double seconds, long responseDelayMicros) {
        renewalDelayMicros = responseDelayMicros;
        time.passSeconds(2);
        renewals = 0;
        time.passSeconds(seconds);
        return renewals;
    }

    @Test
    void lateResponsesDoNotMakeRenewalsLessFrequent() {
        int seen = renewalsIn(20, 900_000);
        assertTrue(seen >= 19, seen + " renewals");
        assertTrue(election.isLeaseValid());
    }

    @Test
    void aResponseLaterThanTheRenewalIntervalIsFollowedByAnImmediateRenewal() {
        int seen = renewalsIn(24, 1_200_000);
        assertTrue(seen >= 19, seen + " renewals");
        assertTrue(election.isLeaseValid());
    }
}
