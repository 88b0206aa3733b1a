package org.weldcourse.quota;

/**
 * The quota invariant: no addition may push the sum of a team's used quota, reservations and unspent budgets over the
 * limit in force. Controllers and tests check it with the same functions.
 */
public final class QuotaInvariant {
    /** A rounding error of half a millionth per task, for up to 2,000 tasks. */
    private static final ResourceAmount ROUNDING_TOLERANCE = new ResourceAmount(1_000, 1_000);

    private QuotaInvariant() {}

    /** Returns whether the limit allows adding an amount to what already counts against it. */
    public static boolean mayAdd(ResourceAmount limit, ResourceAmount counted, ResourceAmount added) {
        return counted.plus(added).fitsInto(limit);
    }

    /** Returns whether the used amount exceeds the limit by more than the rounding tolerance. */
    public static boolean isExceeded(ResourceAmount limit, ResourceAmount used) {
        return !used.minus(ROUNDING_TOLERANCE).fitsInto(limit);
    }
}
