package org.weldcourse.runtime;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A long-lived background task on the event loop. It sleeps until its next step is due or until it is woken. An
 * unexpected error in a step is logged and the task goes on after a pause: one fault must not end a controller. All
 * methods are called on the loop that the {@link Timers} run on; times are microseconds of the {@link Clock}.
 */
public abstract class ScheduledTask {
    private static final Logger LOG = LoggerFactory.getLogger(ScheduledTask.class);
    private static final long PAUSE_AFTER_ERROR_MICROS = 500_000;
    private static final long MAX_PAUSE_MICROS = 2_000_000;

    private final String name;
    private final Timers timers;
    private Timers.Timer next;
    private long dueMicros;
    private long lateMicros;
    private long pausedUntilMicros = Long.MIN_VALUE;
    private boolean running;
    protected final Clock clock;

    /**
     * A task that runs once it is started.
     *
     * @param name names the task in the log
     */
    protected ScheduledTask(String name, Clock clock, Timers timers) {
        this.name = name;
        this.clock = clock;
        this.timers = timers;
    }

    /** Does what is due and returns the microseconds until the next step; negative: sleep until woken. */
    protected abstract long step();

    /**
     * How long a step is followed by a pause, as a multiple of the time that it took: a task that could take the whole
     * processor leaves a stated part of it to the leader's lease, workers and users, however slow it is. 0 for a task
     * whose steps have to come when they are due.
     */
    protected int pauseFactor() {
        return 0;
    }

    /** Starts the task: its first step is due at once. */
    public final void start() {
        running = true;
        wakeIn(0);
    }

    /** Ends the task: no step follows. */
    public void cancel() {
        running = false;
        if (next != null) {
            next.cancel();
            next = null;
        }
    }

    /** Whether the task was started and not cancelled since. */
    public final boolean isRunning() {
        return running;
    }

    /** Whether a further step is scheduled. */
    public final boolean isStepScheduled() {
        return next != null;
    }

    /** How much later than due the current step began, in microseconds: a measure of processor shortage. */
    protected final long lateMicros() {
        return lateMicros;
    }

    /**
     * Schedules a step within the given time, or at the end of the pause if that is later. A step that is scheduled
     * earlier stands. Does nothing while the task is not running.
     */
    public final void wakeIn(long delayMicros) {
        if (!running) {
            return;
        }
        long atMicros = Math.max(clock.nowMicros() + delayMicros, pausedUntilMicros);
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
        pausedUntilMicros = endedMicros + Math.min(MAX_PAUSE_MICROS, pauseFactor() * (endedMicros - beganMicros));
        if (next != null && dueMicros < pausedUntilMicros) {
            // The step scheduled another one for within its pause.
            next.cancel();
            next = null;
            wakeIn(0);
        }
        if (pauseMicros >= 0) {
            wakeIn(pauseMicros);
        }
    }
}
