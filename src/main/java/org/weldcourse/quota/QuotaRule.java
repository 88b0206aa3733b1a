package org.weldcourse.quota;

import java.util.Collection;

/**
 * The invariant of team limits: what a team has reserved or outstanding, and what controllers may still reserve for it,
 * never exceeds its limit in force by anything that is added. Controllers and tests use these same functions.
 */
public final class QuotaRule {
    /** Half a millionth for each of two thousand tasks. */
    private static final Amount ROUNDING = new Amount(1_000, 1_000);

    private QuotaRule() {}

    /** What counts against the limit for one job: its tasks without evidence of their end, or what is reserved if more. */
    public static Amount ofJob(Amount perTask, int reservedTasks, int outstandingTasks) {
        return perTask.times(Math.max(reservedTasks, outstandingTasks));
    }

    /** Whether so much may be added to what counts against the limit already. */
    public static boolean mayAdd(Amount limit, Amount counted, Amount added) {
        return counted.plus(added).fitsInto(limit);
    }

    /** Whether what is in use exceeds a limit by more than the rounding of amounts can explain. */
    public static boolean isExceeded(Amount limit, Amount used) {
        return !used.minus(ROUNDING).fitsInto(limit);
    }

    /** The sum of several amounts. */
    public static Amount sum(Collection<Amount> amounts) {
        Amount sum = Amount.ZERO;
        for (Amount amount : amounts) {
            sum = sum.plus(amount);
        }
        return sum;
    }
}
