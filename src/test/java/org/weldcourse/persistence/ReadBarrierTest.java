package org.weldcourse.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.FakeClock;
import org.weldcourse.store.Store.Outcome;

/** Tests of {@link ReadBarrier}. Guards against decisions on reads that were sent before the caller asked. */
class ReadBarrierTest {
    /** Allows 10 of the store's 100 requests per second: a read each 100 ms. */
    private static final double REQUESTS_PER_SECOND = 100;

    private final FakeClock clock = new FakeClock();
    private final List<Consumer<Outcome>> reads = new ArrayList<>();
    private final List<Boolean> results = new ArrayList<>();
    private final ReadBarrier barrier = new ReadBarrier(clock, clock, REQUESTS_PER_SECOND, reads::add);

    private void await() {
        barrier.await(results::add);
        clock.pass(0);
    }

    @Test
    void oneReadServesAllCallersThatCameBeforeItWasSent() {
        barrier.await(results::add);
        barrier.await(results::add);
        clock.pass(0);
        assertEquals(1, reads.size());
        assertEquals(List.of(), results);
        reads.get(0).accept(Outcome.OK);
        assertEquals(List.of(true, true), results);
        clock.passSeconds(10);
        assertEquals(1, reads.size(), "no read without a caller");
        assertEquals(2, results.size(), "each caller is answered once");
    }

    @Test
    void callerIsNotServedByAReadThatWasSentBefore() {
        await();
        clock.pass(50_000);
        await();
        reads.get(0).accept(Outcome.OK);
        assertEquals(List.of(true), results);
        clock.pass(49_999);
        assertEquals(1, reads.size(), "the store's rate is shared");
        clock.pass(1);
        assertEquals(2, reads.size());
        reads.get(1).accept(Outcome.OK);
        assertEquals(List.of(true, true), results);
    }

    @Test
    void answerThatTookTooLongServesNobody() {
        await();
        clock.pass(ReadBarrier.MAX_READ_AGE_MICROS);
        reads.get(0).accept(Outcome.OK);
        assertEquals(List.of(), results);
        clock.pass(0);
        reads.get(1).accept(Outcome.OK);
        assertEquals(List.of(true), results);
    }

    @Test
    void rateLimitedReadIsRepeatedUntilTheCallerHasWaitedTooLong() {
        await();
        for (int read = 0; read < 14; read++) {
            reads.get(read).accept(Outcome.RATE_LIMITED);
            clock.pass(100_000);
        }
        assertEquals(15, reads.size());
        assertEquals(List.of(), results);
        reads.get(14).accept(Outcome.RATE_LIMITED);
        clock.pass(100_000);
        assertEquals(List.of(false), results);
        clock.passSeconds(10);
        assertEquals(1, results.size());
        assertEquals(15, reads.size(), "nobody waits any more");
    }

    @Test
    void failedReadServesNobodyAndIsNotRepeated() {
        for (Outcome outcome : List.of(Outcome.UNAVAILABLE, Outcome.UNKNOWN, Outcome.REFUSED, Outcome.INVALID)) {
            await();
            reads.get(reads.size() - 1).accept(outcome);
            clock.passSeconds(1);
        }
        assertEquals(List.of(false, false, false, false), results);
        assertEquals(4, reads.size());
    }

    @Test
    void readWithoutAnswerEndsTheWaitAndLaterCallersAreServedAgain() {
        await();
        clock.pass(ReadBarrier.MAX_WAIT_MICROS - 1);
        assertEquals(List.of(), results);
        clock.pass(1);
        assertEquals(List.of(false), results);
        reads.get(0).accept(Outcome.UNKNOWN);
        await();
        reads.get(1).accept(Outcome.OK);
        assertEquals(List.of(false, true), results);
    }

    @Test
    void stopEndsAllWaits() {
        await();
        barrier.await(results::add);
        barrier.stop();
        assertEquals(List.of(false, false), results);
        reads.get(0).accept(Outcome.OK);
        barrier.await(results::add);
        assertEquals(List.of(false, false, false), results);
        assertEquals(1, reads.size());
    }
}
