package org.weldcourse.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How a slow processor is shared: a duty that rests leaves a stated part of it to others, one that may not wait does not. */
class ScheduledTaskTest {
    private static final long MILLI = 1_000;

    private long nowMicros;
    private long dueMicros = -1;
    private Runnable pending;
    private long tookMicros = 100 * MILLI;

    private final Clock clock = new Clock() {
        @Override
        public long nowMicros() {
            return nowMicros;
        }

        @Override
        public long wallMicros() {
            return nowMicros;
        }
    };

    private ScheduledTask duty(int rest, boolean wakesItself) {
        ScheduledTask duty =
                new ScheduledTask("slow", clock, (delayMicros, work) -> {
                    dueMicros = nowMicros + delayMicros;
                    pending = work;
                    return () -> pending = null;
                }) {
                    @Override
                    protected int rest() {
                        return rest;
                    }

                    @Override
                    protected long step() {
                        if (wakesItself) {
                            wakeIn(0);
                        }
                        nowMicros += tookMicros;
                        return 10 * MILLI;
                    }
                };
        duty.start();
        return duty;
    }

    private void runPending() {
        nowMicros = Math.max(nowMicros, dueMicros);
        Runnable work = pending;
        pending = null;
        work.run();
    }

    @Test
    void restsInStepWithWhatItsStepTook() {
        ScheduledTask duty = duty(2, false);
        runPending();
        assertEquals(nowMicros + 200 * MILLI, dueMicros);
        duty.wakeIn(0);
        assertEquals(nowMicros + 200 * MILLI, dueMicros, "an event does not shorten the rest");
        tookMicros = MILLI;
        runPending();
        assertEquals(nowMicros + 10 * MILLI, dueMicros, "quick steps come when they are due");
    }

    @Test
    void restsAlsoWhenItWokeItselfAndNeverForLong() {
        duty(2, true);
        runPending();
        assertEquals(nowMicros + 200 * MILLI, dueMicros);
        tookMicros = 30_000 * MILLI;
        runPending();
        assertEquals(nowMicros + 2_000 * MILLI, dueMicros);
    }

    @Test
    void whatMayNotWaitDoesNot() {
        ScheduledTask duty = duty(0, false);
        runPending();
        assertEquals(nowMicros + 10 * MILLI, dueMicros);
        duty.wakeIn(0);
        assertEquals(nowMicros, dueMicros);
    }
}
