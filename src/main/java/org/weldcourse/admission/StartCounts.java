package org.weldcourse.admission;

/** What a process counted of starts since it began, over all of its terms. */
public final class StartCounts {
    /** Tasks that were told to run. */
    long started;
    /** Starts that waited for tasks which are found without a booking. */
    long withheld;
    /** Starts that were refused although they should never have been asked for: each is a fault of this program. */
    long violations;

    /** Tasks that were told to run. */
    public long started() {
        return started;
    }

    /** Starts that waited for tasks which are found without a booking. */
    public long withheld() {
        return withheld;
    }

    /** Starts that were refused although they should never have been asked for. */
    public long violations() {
        return violations;
    }
}
