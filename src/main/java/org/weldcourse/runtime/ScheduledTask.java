package org.weldcourse.runtime;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A long-lived background task that runs in steps on the event loop. A step runs when it is due, or earlier after
 * {@link #wakeIn}. An unexpected error in a step is logged and the task continues after a pause, so that one fault does
 * not end the controller. All methods are called on the event loop of the {@link Timers}; times are microseconds of the
 * {@link Clock}.
 */
public abstract class ScheduledTask {
    private static final Logger LOG = LoggerFactory.getLogger(ScheduledTask.class);
    private static final long PAUSE_AFTER_ERROR_MICROS = 500_000;
    private static final long MAX_PAUSE_MICROS = 2_000_000;

    private final String name;
    private final Timers timers;
    private Timers.Timer nextTimer;
    private long dueMicros;
    private long lateMicros;
    private long pausedUntilMicros = Long.MIN_VALUE;
    private boolean running;
    protected final Clock clock;

    /**
     * Creates a task; {@link #start} schedules its first step.
     *
     * @param name the name of the task in the log
     */
    protected ScheduledTask(String name, Clock clock, Timers timers) {
        this.name = name;
        this.clock = clock;
        this.timers = timers;
    }

    /**
     * Runs one step. Returns the delay of the next step in microseconds, or a negative value to wait for a
     * call of {@link #wakeIn}.
     */
    protected abstract long step();

    /**
     * The length of the pause after each step, as a multiple of the step's duration and at most 2 seconds. The pause
     * leaves CPU time for lease renewals, heartbeats and user requests, even when steps are slow. A factor of 0 means
     * no pause, for tasks whose steps must run when they are due.
     */
    protected int pauseFactor() {
        return 0;
    }

    /** Starts the task; its first step is due immediately. */
    public final void start() {
        running = true;
        wakeIn(0);
    }

    /** Stops the task; no further step runs until it is started again. */
    public void cancel() {
        running = false;
        if (nextTimer != null) {
            nextTimer.cancel();
            nextTimer = null;
        }
    }

    /** Whether the task was started and has not been cancelled since. */
    public final boolean isRunning() {
        return running;
    }

    /** Whether another step is scheduled. */
    public final boolean isStepScheduled() {
        return nextTimer != null;
    }

    /** The delay of the current step beyond its due time, in microseconds; it indicates a shortage of CPU time. */
    protected final long lateMicros() {
        return lateMicros;
    }

    /**
     * Schedules a step after the delay, or at the end of the current pause if that is later. A step that is already
     * scheduled for an earlier time is kept. Does nothing if the task is not running.
     */
    public final void wakeIn(long delayMicros) {
        if (!running) {
            return;
        }
        long wakeMicros = Math.max(clock.nowMicros() + delayMicros, pausedUntilMicros);
        if (nextTimer != null) {
            if (dueMicros <= wakeMicros) {
                return;
            }
            nextTimer.cancel();
        }
        dueMicros = wakeMicros;
        nextTimer = timers.after(wakeMicros - clock.nowMicros(), this::runStep);
    }

    private void runStep() {
        nextTimer = null;
        if (!running) {
            return;
        }
        long startedMicros = clock.nowMicros();
        lateMicros = startedMicros - dueMicros;
        long delayMicros;
        try {
            delayMicros = step();
        } catch (RuntimeException unexpected) {
            LOG.error("{}: unexpected error, the task continues after a pause", name, unexpected);
            delayMicros = PAUSE_AFTER_ERROR_MICROS;
        }
        long finishedMicros = clock.nowMicros();
        pausedUntilMicros =
                finishedMicros + Math.min(MAX_PAUSE_MICROS, pauseFactor() * (finishedMicros - startedMicros));
        if (nextTimer != null && dueMicros < pausedUntilMicros) {
            // The step scheduled the next one within the pause: postpone it to the end of the pause.
            nextTimer.cancel();
            nextTimer = null;
            wakeIn(0);
        }
        if (delayMicros >= 0) {
            wakeIn(delayMicros);
        }
    }
}
