package org.weldcourse.store;

import org.weldcourse.runtime.Clock;

/** A bucket of permits that fills at a steady rate; background work takes from it, urgent work need not ask. */
public final class RateLimiter {
    private final Clock clock;
    private final double perSecond;
    private final double most;
    private double level;
    private long filledMicros;

    /** A limiter that holds at most so many permits and begins with them. */
    public RateLimiter(Clock clock, double perSecond, double most) {
        this.clock = clock;
        this.perSecond = perSecond;
        this.most = Math.max(1, most);
        this.level = this.most;
        this.filledMicros = clock.nowMicros();
    }

    /** Takes permits if there are enough. */
    public boolean tryTake(int permits) {
        fill();
        if (level < Math.min(permits, most)) {
            return false;
        }
        level -= permits;
        return true;
    }

    /** Takes one permit only if so many would be left: for what can wait until there is plenty. */
    public boolean tryTakeOf(double left) {
        fill();
        if (level < left + 1) {
            return false;
        }
        level -= 1;
        return true;
    }

    /** Whole permits that could be taken now. */
    public int available() {
        fill();
        return (int) Math.max(0, Math.floor(level));
    }

    /** Spends permits that were used without asking; the level may go below zero. */
    public void spend(int permits) {
        fill();
        level -= permits;
    }

    private void fill() {
        long nowMicros = clock.nowMicros();
        level = Math.min(most, level + (nowMicros - filledMicros) / 1e6 * perSecond);
        filledMicros = nowMicros;
    }
}
