package org.weldcourse.store;

import org.weldcourse.runtime.Clock;

/**
 * Token bucket rate limiter. Background work acquires permits before it runs; urgent work runs at once and
 * {@link #consume consumes} its permits without a check. Not thread-safe; used on the event loop only.
 */
public final class RateLimiter {
    private final Clock clock;
    private final double permitsPerSecond;
    private final double capacity;
    private double permits;
    private long refilledMicros;

    /** Creates a full bucket of {@code capacity} permits (at least 1), refilled at {@code permitsPerSecond}. */
    public RateLimiter(Clock clock, double permitsPerSecond, double capacity) {
        this.clock = clock;
        this.permitsPerSecond = permitsPerSecond;
        this.capacity = Math.max(1, capacity);
        this.permits = this.capacity;
        this.refilledMicros = clock.nowMicros();
    }

    /**
     * Acquires permits if enough are available. A request for more than the capacity succeeds when the bucket is full;
     * otherwise it could never succeed.
     */
    public boolean tryAcquire(int requested) {
        refill();
        if (permits < Math.min(requested, capacity)) {
            return false;
        }
        permits -= requested;
        return true;
    }

    /** Acquires one permit only if at least {@code reserve} permits remain; intended for low-priority work. */
    public boolean tryAcquireAboveReserve(double reserve) {
        refill();
        if (permits < reserve + 1) {
            return false;
        }
        permits -= 1;
        return true;
    }

    /** Returns the number of whole permits that can be acquired now. */
    public int available() {
        refill();
        return (int) Math.max(0, Math.floor(permits));
    }

    /** Consumes permits without checking that they are available; the balance may become negative. */
    public void consume(int used) {
        refill();
        permits -= used;
    }

    private void refill() {
        long nowMicros = clock.nowMicros();
        permits = Math.min(capacity, permits + (nowMicros - refilledMicros) / 1e6 * permitsPerSecond);
        refilledMicros = nowMicros;
    }
}
