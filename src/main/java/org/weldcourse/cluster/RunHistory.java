package org.weldcourse.cluster;

import java.util.HashSet;
import java.util.Set;
import org.weldcourse.placement.MachineExclusions;

/** How the runs of a job's tasks ended: failures, the backoff that they cause, and run times. */
public final class RunHistory {
    private final MachineExclusions exclusions = new MachineExclusions();
    private final Set<String> machinesFailedSinceSuccess = new HashSet<>();
    private int consecutiveErrors;
    private int finishedRuns;
    private long finishedRunMicros;
    private long backoffUntilMicros;

    /** The machines on which tasks of the job failed. */
    public MachineExclusions exclusions() {
        return exclusions;
    }

    /** Notes a failure on a machine, and excludes the machine for a while. */
    void failedOn(String machine, long nowMicros) {
        exclusions.add(machine, nowMicros);
        machinesFailedSinceSuccess.add(machine);
    }

    /** The number of machines that tasks of the job failed on since the last success. */
    int machinesFailedSinceSuccess() {
        return machinesFailedSinceSuccess.size();
    }

    /** Counts an error and returns the number of errors since the last success. */
    int incrementErrors() {
        return ++consecutiveErrors;
    }

    void clearErrors() {
        consecutiveErrors = 0;
        machinesFailedSinceSuccess.clear();
    }

    /** Delays further bookings until this time. */
    void backOffUntil(long micros) {
        backoffUntilMicros = micros;
    }

    boolean isBackingOff(long nowMicros) {
        return nowMicros < backoffUntilMicros;
    }

    void addRun(long ranMicros) {
        finishedRuns++;
        finishedRunMicros += ranMicros;
    }

    boolean hasFinishedRuns() {
        return finishedRuns > 0;
    }

    /** The mean run time of finished tasks; at least one must have finished. */
    long meanRunMicros() {
        return finishedRunMicros / finishedRuns;
    }
}
