package org.weldcourse.leader;

import java.util.ArrayList;
import java.util.List;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.quota.enforcement.QuotaEnforcement;

/**
 * Sees jobs through to their end: finished tasks and ended jobs are put on record, and a job that is over stays among
 * the outstanding ones as long as tasks of it may be on machines.
 */
final class JobEndings {
    /** How long the end of a gang waits for the heartbeats of its last tasks; users expect to hear of it within 3 s. */
    private static final long LAST_HEARTBEATS_MICROS = 700_000;

    private final ClusterState cluster;
    private final RecordWriter recordWriter;
    private final QuotaEnforcement quotas;
    private final TaskEviction taskEviction;
    private final CycleTimer cycleTimer;

    /** Schedules the admission cycle. */
    interface CycleTimer {
        /** Makes sure that a cycle comes within the given time. */
        void wakeIn(long delayMicros);
    }

    JobEndings(
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

    /** Processes all jobs, as the first part of each cycle. */
    void processAll(long nowMicros) {
        for (Job job : new ArrayList<>(cluster.jobs.values())) {
            process(job, nowMicros);
        }
        forgetOutstanding();
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
            if (!awaitsLastHeartbeats(job, nowMicros)) {
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
                taskEviction.evictGangIfLate(job, nowMicros);
            }
        }
    }

    private void removeClosed(Job job) {
        cluster.jobs.remove(job.spec().id());
        quotas.jobEnded(job);
        // Its last tasks may have gone while the record of them was being written.
        if (!job.bookings().isEmpty() || job.isOutstandingPersisted()) {
            cluster.outstandingJobs.put(job.spec().id(), job);
            cluster.evict(job, 0);
        }
    }

    /** When a gang is done, the heartbeats with its last exits are on their way: they spare a record of outstanding tasks. */
    private boolean awaitsLastHeartbeats(Job job, long nowMicros) {
        long leftMicros = job.doneSinceMicros(nowMicros) + LAST_HEARTBEATS_MICROS - nowMicros;
        if (job.bookings().isEmpty() || leftMicros <= 0) {
            return false;
        }
        cycleTimer.wakeIn(leftMicros);
        return true;
    }

    /** Forgets jobs that are over once there is evidence that no task of them is left on any machine. */
    private void forgetOutstanding() {
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
