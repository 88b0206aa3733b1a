package org.weldcourse.workers;

/** Counts task starts and refusals for {@code /metrics}, over all leader terms of the process. */
public final class StartCounts {
    private long started;
    private long withheld;
    private long violations;
    private long admissionsWithheld;
    private long responsesHeld;
    private long responsesWithoutRead;

    void countStarted() {
        started++;
    }

    void countWithheld() {
        withheld++;
    }

    /** Counts an admission that was not written because the records would have exceeded a limit. */
    public void countAdmissionWithheld() {
        admissionsWithheld++;
    }

    /**
     * Counts a heartbeat response with starts that was held back until the open jobs were read.
     *
     * @param read whether they were; otherwise the response started nothing
     */
    public void countHeldResponse(boolean read) {
        responsesHeld++;
        responsesWithoutRead += read ? 0 : 1;
    }

    void countViolation() {
        violations++;
    }

    /** The number of admissions that were not written because the records would have exceeded a limit. */
    public long admissionsWithheld() {
        return admissionsWithheld;
    }

    /** The number of heartbeat responses with starts that were held back until the open jobs were read. */
    public long responsesHeld() {
        return responsesHeld;
    }

    /** The number of these responses that started nothing because the open jobs could not be read in time. */
    public long responsesWithoutRead() {
        return responsesWithoutRead;
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
