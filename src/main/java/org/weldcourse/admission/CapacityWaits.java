package org.weldcourse.admission;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.cluster.Job;

/**
 * Since when jobs have waited for capacity without any of their tasks being booked. A job's wait goes on while it cannot
 * be booked for another reason, such as a backoff or its team's quota limit: a team at its limit has quota for one cycle
 * and none for the next.
 */
public final class CapacityWaits {
    private final Map<String, Long> sinceMicrosByJob = new HashMap<>();

    /** Notes which jobs a cycle booked tasks of, and which it left without capacity. */
    public void cycleEnded(CycleDecisions decisions, Map<String, Job> jobs, long nowMicros) {
        decisions.admissions().forEach(admission -> sinceMicrosByJob.remove(admission.job()));
        for (CycleDecisions.PendingTasks tasks : decisions.pending()) {
            if (!tasks.blockedByQuota()) {
                sinceMicrosByJob.putIfAbsent(tasks.spec().id(), nowMicros);
            }
        }
        sinceMicrosByJob.keySet().removeIf(id -> !hasPendingTasks(jobs.get(id)));
    }

    private static boolean hasPendingTasks(Job job) {
        return job != null && job.pendingCount() > 0;
    }

    /** Returns how long the job has waited; 0 if it does not wait. */
    public long waitedMicros(String job, long nowMicros) {
        return nowMicros - sinceMicrosByJob.getOrDefault(job, nowMicros);
    }
}
