package org.weldcourse.runtime;

/** A source of time in whole microseconds; tests use a simulated one. */
public interface Clock {
    /** Monotonic time; only the difference between two readings is meaningful. */
    long nowMicros();

    /** Wall-clock time since the Unix epoch; it may deviate by the bound that the platform's settings state. */
    long wallMicros();
}
