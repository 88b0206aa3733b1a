package org.weldcourse.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Caller;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.FakeClock;
import org.weldcourse.store.Store;

/** Lease renewals of a leader that reads the answers late, as one does whose processor is taken by its first heartbeats. */
class LeaderElectionTest {
    private static final long LEASE_MICROS = 4_000_000;

    private final FakeClock time = new FakeClock();
    private int renewals;
    private long renewalTakesMicros = 1_000;
    private LeaderElection election;

    @BeforeEach
    void lead() {
        election = new LeaderElection(
                "n", new Store(this::answer, time, "state"), time, time, LEASE_MICROS, new LeaderElection.Listener() {
                    @Override
                    public void elected(long fencingToken, long fencingTokenVersion) {}

                    @Override
                    public void deposed() {}
                });
        election.start();
        time.passSeconds(1);
        assertTrue(election.isLeader());
    }

    private void answer(Caller.Call call, Caller.Done done) {
        boolean renewal = call.path().endsWith("/extend");
        assertEquals(renewal, call.dedicatedConnection(), call.path());
        if (renewal) {
            renewals++;
        }
        Caller.Answer answer = call.path().startsWith("/store/")
                ? new Caller.Answer(404, Map.of())
                : new Caller.Answer(200, Json.of("permit", 1L, "ledger", 1L, "pairs", List.of()));
        time.after(renewal ? renewalTakesMicros : 1_000, () -> done.accept(answer));
    }

    /** Renewals in so many seconds, once answers have come to be read so late. */
    private int renewalsIn(double seconds, long takesMicros) {
        renewalTakesMicros = takesMicros;
        time.passSeconds(2);
        renewals = 0;
        time.passSeconds(seconds);
        return renewals;
    }

    @Test
    void renewalsComeAsOftenWhenTheirAnswersAreReadLate() {
        int seen = renewalsIn(20, 900_000);
        assertTrue(seen >= 19, seen + " renewals");
        assertTrue(election.isLeaseValid());
    }

    @Test
    void anAnswerThatIsLaterThanThatIsFollowedAtOnce() {
        int seen = renewalsIn(24, 1_200_000);
        assertTrue(seen >= 19, seen + " renewals");
        assertTrue(election.isLeaseValid());
    }
}
