package org.weldcourse.runtime;

/** Time as the decision code sees it, in whole microseconds. */
public interface Clock {
    /** A steady reading: only differences between two readings mean anything. */
    long nowMicros();

    /** Time of day since the epoch; it may be off by the bound that the settings name. */
    long wallMicros();
}
