package org.weldcourse.leader;

import java.util.ArrayList;
import java.util.List;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.quota.enforcement.QuotaEnforcement;

/**
 * Handles the completion of jobs: persists finished tasks and ended jobs, and keeps an ended job as outstanding while
 * tasks of it may still be on machines.
 */
final class JobCompletionHandler {
    /**
     * How long the end of a gang waits for the heartbeats of its last tasks; users expect to see the end within 3 s.
     */
    private static final long FINAL_HEARTBEATS_WAIT_MICROS = 700_000;

    private final ClusterState cluster;
    private final RecordWriter recordWriter;
    private final QuotaEnforcement quotas;
    private final TaskEviction taskEviction;
    private final CycleTimer cycleTimer;

    /** Schedules the admission cycle. */
    interface CycleTimer {
        /** Schedules a cycle within the given time. */
        void wakeIn(long delayMicros);
    }

    JobCompletionHandler(
            ClusterState cluster,
            RecordWriter recordWriter,
            QuotaEnforcement quotas,
            TaskEviction taskEviction,
            CycleTimer cycleTimer) {
        this.cluster = cluster;
        this.recordWriter = recordWriter;
        this.quotas = quotas;
        this.taskEviction = taskEviction;
        this.cycleTimer = cycleTimer;
    }

    /** Processes all jobs; the first step of each cycle. */
    void processAll(long nowMicros) {
        for (Job job : new ArrayList<>(cluster.jobs.values())) {
            process(job, nowMicros);
        }
        removeResolvedOutstandingJobs();
    }

    private void process(Job job, long nowMicros) {
        if (job.isClosed()) {
            removeClosed(job);
            return;
        }
        if (job.isStale()) {
            return;
        }
        if (job.allDone()) {
            if (!mustAwaitFinalHeartbeats(job, nowMicros)) {
                recordWriter.close(job);
            }
        } else if (job.isCancelled()) {
            cluster.evict(job, 0);
            if (!job.mayBeOnMachines()) {
                recordWriter.close(job);
            }
        } else {
            recordWriter.saveFinishedTasks(job);
            if (job.spec().isGang()) {
                taskEviction.evictGangOnStartTimeout(job, nowMicros);
            }
        }
    }

    private void removeClosed(Job job) {
        cluster.removeClosed(job);
        quotas.jobEnded(job);
        // The record of outstanding tasks may exist although the job's last booking was released during the write.
        if (!job.bookings().isEmpty() || job.isOutstandingPersisted()) {
            cluster.outstandingJobs.put(job.spec().id(), job);
            cluster.evict(job, 0);
        }
    }

    /**
     * Whether to wait for the heartbeats that report the last exits of a finished gang: once they have arrived, no
     * record of outstanding tasks needs to be written.
     */
    private boolean mustAwaitFinalHeartbeats(Job job, long nowMicros) {
        long remainingMicros = job.doneSinceMicros(nowMicros) + FINAL_HEARTBEATS_WAIT_MICROS - nowMicros;
        if (job.bookings().isEmpty() || remainingMicros <= 0) {
            return false;
        }
        cycleTimer.wakeIn(remainingMicros);
        return true;
    }

    /** Removes ended jobs, and their records, once there is evidence that no task of them is on any machine. */
    private void removeResolvedOutstandingJobs() {
        List<String> keys = new ArrayList<>();
        cluster.outstandingJobs.values().removeIf(job -> {
            if (job.bookings().isEmpty() && job.isOutstandingPersisted()) {
                keys.add(StoreKeys.outstanding(job.spec().id()));
            }
            return job.bookings().isEmpty();
        });
        recordWriter.deleteInBackground(keys);
    }
}
