package org.weldcourse.quota;

/** How much of one limit counts as taken while an account is made. */
public final class LimitRoom {
    private final Amount limit;
    private Amount taken;

    /** A limit of which so much is taken for certain. */
    public LimitRoom(Amount limit, Amount taken) {
        this.limit = limit;
        this.taken = taken;
    }

    /** Whether so much more may be taken. */
    public boolean hasRoomFor(Amount amount) {
        return QuotaRule.mayAdd(limit, taken, amount);
    }

    /** Counts so much more as taken. */
    public void take(Amount amount) {
        taken = taken.plus(amount);
    }

    /** The limit itself. */
    public Amount limit() {
        return limit;
    }

    /** All that counts as taken. */
    public Amount taken() {
        return taken;
    }

    /** What is left, if this much of what is taken did not count. */
    public Amount freeWithout(Amount amount) {
        return limit.minus(taken.minus(amount));
    }
}
