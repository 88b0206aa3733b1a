package org.weldcourse.store;

import org.weldcourse.runtime.Clock;

/**
 * A token bucket of permits that refills at a steady rate: background work takes permits from it, urgent work need
 * not ask but {@link #consume consumes} what it used. Not thread-safe: used on the event loop only.
 */
public final class RateLimiter {
    private final Clock clock;
    private final double permitsPerSecond;
    private final double capacity;
    private double permits;
    private long refilledMicros;

    /** A full bucket of {@code capacity} permits (at least 1), refilled at {@code permitsPerSecond}. */
    public RateLimiter(Clock clock, double permitsPerSecond, double capacity) {
        this.clock = clock;
        this.permitsPerSecond = permitsPerSecond;
        this.capacity = Math.max(1, capacity);
        this.permits = this.capacity;
        this.refilledMicros = clock.nowMicros();
    }

    /**
     * Takes permits if there are enough; a request for more than the capacity needs a full bucket, so that it is not
     * refused for ever.
     */
    public boolean tryAcquire(int requested) {
        refill();
        if (permits < Math.min(requested, capacity)) {
            return false;
        }
        permits -= requested;
        return true;
    }

    /** Takes one permit only if at least {@code reserve} would be left: for what can wait until there is plenty. */
    public boolean tryAcquireAboveReserve(double reserve) {
        refill();
        if (permits < reserve + 1) {
            return false;
        }
        permits -= 1;
        return true;
    }

    /** Whole permits that could be taken now. */
    public int available() {
        refill();
        return (int) Math.max(0, Math.floor(permits));
    }

    /** Spends permits that were used without asking; the bucket may go below empty and refills from there. */
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
