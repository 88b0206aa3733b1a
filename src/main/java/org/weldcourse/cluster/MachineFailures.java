package org.weldcourse.cluster;

import java.util.HashSet;
import java.util.Set;

/**
 * The jobs whose tasks have failed on a machine since a task last succeeded there, as evidence of a fault of the machine.
 * A job that fails on other machines as well says nothing about this one.
 */
public final class MachineFailures {
    /** Failures of one job alone are rather the job's fault. */
    private static final int MIN_JOBS = 2;

    private final Set<String> jobs = new HashSet<>();
    private final Set<String> soundJobs = new HashSet<>();

    /** Counts a failure of a job's task. */
    public void add(String job) {
        jobs.add(job);
    }

    /** Notes that a task of the job has succeeded on another machine since: this machine was at fault. */
    public void confirm(String job) {
        if (jobs.contains(job)) {
            soundJobs.add(job);
        }
    }

    /** Takes back the failures of a job that has failed elsewhere too, or has ended without a success. */
    void withdraw(String job) {
        if (!soundJobs.contains(job)) {
            jobs.remove(job);
        }
    }

    /** Takes back all failures, as a task has succeeded on the machine. */
    public void clear() {
        jobs.clear();
        soundJobs.clear();
    }

    /** Whether several jobs failed here, so that nothing more is started on the machine. */
    public boolean isSuspected() {
        return jobs.size() >= MIN_JOBS;
    }

    /** Whether several jobs failed here and succeeded elsewhere, so that the tasks that still run are lost anyway. */
    public boolean isConfirmed() {
        return soundJobs.size() >= MIN_JOBS;
    }
}
