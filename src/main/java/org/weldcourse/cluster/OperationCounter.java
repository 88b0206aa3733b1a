package org.weldcourse.cluster;

/**
 * Counts what is done with single bookings: each one that is added, removed, changed or visited in a loop. The growth of
 * the count during one event shows how long that event kept the event loop busy, whatever machine it ran on.
 */
public final class OperationCounter {
    private long count;

    void increment() {
        count++;
    }

    /** The number of operations so far. */
    public long count() {
        return count;
    }
}
