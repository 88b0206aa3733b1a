package org.weldcourse.cluster;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What the failures of tasks say about their jobs and machines. */
final class TaskFailures {
    private static final Logger LOG = LoggerFactory.getLogger(TaskFailures.class);
    /** A job backs off once its tasks have failed on this many machines. */
    private static final int FAILED_MACHINES_BEFORE_BACKOFF = 3;

    /** The backoff of a job with failing tasks, before it is doubled for each error since the last success. */
    private static final long BASE_BACKOFF_MICROS = 5_000_000;

    private static final int MAX_DOUBLINGS = 10;

    private final Map<String, Machine> machines;

    /** Creates the handling of failures on these machines, by name, which may change. */
    TaskFailures(Map<String, Machine> machines) {
        this.machines = machines;
    }

    /** Excludes the machine for the job; a job that fails on several machines backs off, and no machine is blamed. */
    void taskFailed(Booking booking, long nowMicros) {
        Job job = booking.job();
        Machine machine = booking.machine();
        LOG.info("{} attempt {} failed on {}", booking.taskId(), booking.attempt(), machine.name);
        machine.failures.add(job.spec().id());
        job.runHistory().failedOn(machine.name, nowMicros);
        int failedMachines = job.runHistory().machinesFailedSinceSuccess();
        if (failedMachines > 1 && !job.hasDoneTasks()) {
            withdraw(job);
        }
        int errors = job.runHistory().incrementErrors();
        if (failedMachines >= FAILED_MACHINES_BEFORE_BACKOFF) {
            long backoffMicros = BASE_BACKOFF_MICROS << Math.min(MAX_DOUBLINGS, errors);
            job.runHistory().backOffUntil(nowMicros + Math.min(ClusterState.MAX_BACKOFF_MICROS, backoffMicros));
        }
    }

    /** The machine is sound, and so is the job: the other machines that its tasks failed on were at fault. */
    void taskSucceeded(Job job, Machine succeededOn) {
        succeededOn.failures.clear();
        for (String name : job.runHistory().exclusions().failedMachines()) {
            Machine machine = machines.get(name);
            if (machine != null && machine != succeededOn) {
                machine.failures.confirm(job.spec().id());
            }
        }
    }

    /** Takes back the failures of a job as evidence against machines, unless it succeeded on another one. */
    void withdraw(Job job) {
        for (String name : job.runHistory().exclusions().failedMachines()) {
            Machine machine = machines.get(name);
            if (machine != null) {
                machine.failures.withdraw(job.spec().id());
            }
        }
    }
}
