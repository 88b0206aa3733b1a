package org.weldcourse.runtime;

/** One-shot timers that run on the event loop. */
public interface Timers {
    Timer after(long delayMicros, Runnable work);

    /** A timer that may be called off; calling it off twice does nothing. */
    interface Timer {
        void cancel();
    }
}
