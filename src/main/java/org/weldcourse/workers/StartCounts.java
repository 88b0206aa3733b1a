package org.weldcourse.workers;

/** Counts task starts and refusals for {@code /metrics}, over all leader terms of the process. */
public final class StartCounts {
    private long started;
    private long withheld;
    private long violations;

    void countStarted() {
        started++;
    }

    void countWithheld() {
        withheld++;
    }

    void countViolation() {
        violations++;
    }

    /** The number of start commands sent. */
    public long started() {
        return started;
    }

    /** The number of refusals because unbooked tasks or released tasks on record take the team above its limit. */
    public long withheld() {
        return withheld;
    }

    /**
     * The number of refusals because the team's bookings alone exceed its limit: each one is a bug in the scheduler.
     */
    public long violations() {
        return violations;
    }
}
