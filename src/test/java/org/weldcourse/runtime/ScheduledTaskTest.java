package org.weldcourse.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests of the pause factor of {@link ScheduledTask}, which leaves CPU time for other work when steps are slow. */
class ScheduledTaskTest {
    private static final long MICROS_PER_MILLI = 1_000;

    private long nowMicros;
    private long dueMicros = -1;
    private Runnable pending;
    private long stepDurationMicros = 100 * MICROS_PER_MILLI;

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

    private ScheduledTask startTask(int pauseFactor, boolean wakesItself) {
        ScheduledTask task =
                new ScheduledTask("slow", clock, (delayMicros, work) -> {
                    dueMicros = nowMicros + delayMicros;
                    pending = work;
                    return () -> pending = null;
                }) {
                    @Override
                    protected int pauseFactor() {
                        return pauseFactor;
                    }

                    @Override
                    protected long step() {
                        if (wakesItself) {
                            wakeIn(0);
                        }
                        nowMicros += stepDurationMicros;
                        return 10 * MICROS_PER_MILLI;
                    }
                };
        task.start();
        return task;
    }

    private void runPending() {
        nowMicros = Math.max(nowMicros, dueMicros);
        Runnable work = pending;
        pending = null;
        work.run();
    }

    @Test
    void pausesInProportionToTheStepDuration() {
        ScheduledTask task = startTask(2, false);
        runPending();
        assertEquals(nowMicros + 200 * MICROS_PER_MILLI, dueMicros);
        task.wakeIn(0);
        assertEquals(nowMicros + 200 * MICROS_PER_MILLI, dueMicros, "wakeIn does not shorten the pause");
        stepDurationMicros = MICROS_PER_MILLI;
        runPending();
        assertEquals(nowMicros + 10 * MICROS_PER_MILLI, dueMicros, "quick steps run when they are due");
    }

    @Test
    void pausesAfterWakingItselfAndForAtMostTwoSeconds() {
        startTask(2, true);
        runPending();
        assertEquals(nowMicros + 200 * MICROS_PER_MILLI, dueMicros);
        stepDurationMicros = 30_000 * MICROS_PER_MILLI;
        runPending();
        assertEquals(nowMicros + 2_000 * MICROS_PER_MILLI, dueMicros);
    }

    @Test
    void doesNotPauseWithoutPauseFactor() {
        ScheduledTask task = startTask(0, false);
        runPending();
        assertEquals(nowMicros + 10 * MICROS_PER_MILLI, dueMicros);
        task.wakeIn(0);
        assertEquals(nowMicros, dueMicros);
    }
}
