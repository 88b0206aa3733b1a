package org.weldcourse.runtime;

/** Schedules one-shot timers on the event loop. */
public interface Timers {
    /** Runs the work once, after the delay in microseconds. */
    Timer after(long delayMicros, Runnable work);

    /** A scheduled timer. */
    interface Timer {
        /** Cancels the timer; does nothing if its work has run or it was cancelled before. */
        void cancel();
    }
}
