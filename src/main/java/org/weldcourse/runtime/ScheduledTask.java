package org.weldcourse.runtime;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A long-lived routine on the event loop. It sleeps until its next step is due or until it is woken.
 * An unexpected error is logged and the duty goes on after a pause: one fault must not end a controller.
 */
public abstract class ScheduledTask {
    private static final Logger LOG = LoggerFactory.getLogger(ScheduledTask.class);
    private static final long PAUSE_AFTER_ERROR_MICROS = 500_000;
    private static final long MOST_REST_MICROS = 2_000_000;

    private final String name;
    private final Timers timers;
    private Timers.Timer next;
    private long dueMicros;
    private long lateMicros;
    private long restedMicros = Long.MIN_VALUE;
    private boolean running;
    protected final Clock clock;

    protected ScheduledTask(String name, Clock clock, Timers timers) {
        this.name = name;
        this.clock = clock;
        this.timers = timers;
    }

    /** Does what is due and returns the microseconds until the next step; negative: sleep until woken. */
    protected abstract long step();

    /**
     * For so many times as long as a step took, no other follows: what could take the whole processor leaves a stated part of
     * it to the leader's lease, workers and users, however slow it is. 0 for what has to come when it is due.
     */
    protected int rest() {
        return 0;
    }

    /** Begins to run, at once. */
    public final void start() {
        running = true;
        wakeIn(0);
    }

    /** Ends the routine. No step follows. */
    public void cancel() {
        running = false;
        if (next != null) {
            next.cancel();
            next = null;
        }
    }

    public final boolean isRunning() {
        return running;
    }

    /** Whether a further step is due at some time. */
    public final boolean isPending() {
        return next != null;
    }

    /** How much later than due this step began: what the process is short of. */
    protected final long lateMicros() {
        return lateMicros;
    }

    /** Makes sure that a step comes within the given time; an earlier one that is due already stands. */
    public final void wakeIn(long delayMicros) {
        if (!running) {
            return;
        }
        long atMicros = Math.max(clock.nowMicros() + delayMicros, restedMicros);
        if (next != null) {
            if (dueMicros <= atMicros) {
                return;
            }
            next.cancel();
        }
        dueMicros = atMicros;
        next = timers.after(atMicros - clock.nowMicros(), this::run);
    }

    private void run() {
        next = null;
        if (!running) {
            return;
        }
        long beganMicros = clock.nowMicros();
        lateMicros = beganMicros - dueMicros;
        long pauseMicros;
        try {
            pauseMicros = step();
        } catch (RuntimeException unexpected) {
            LOG.error("{}: unexpected error, goes on after a pause", name, unexpected);
            pauseMicros = PAUSE_AFTER_ERROR_MICROS;
        }
        long endedMicros = clock.nowMicros();
        restedMicros = endedMicros + Math.min(MOST_REST_MICROS, rest() * (endedMicros - beganMicros));
        if (next != null && dueMicros < restedMicros) {
            // Woken by itself while it ran.
            next.cancel();
            next = null;
            wakeIn(0);
        }
        if (pauseMicros >= 0) {
            wakeIn(pauseMicros);
        }
    }
}
