package org.weldcourse.persistence;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.JobRecordCodec;

/**
 * Records that can't be decoded, or that a newer version wrote. Each is logged once, and the tasks that it may have
 * admitted count against the quota.
 */
final class UnreadableRecords {
    private static final Logger LOG = LoggerFactory.getLogger(UnreadableRecords.class);

    private final ClusterState cluster;
    /** Open jobs whose own record can't be read, with their team or null if it is unknown. */
    private final Map<String, String> teamByJob = new HashMap<>();

    private final Set<String> loggedKeys = new HashSet<>();
    private final Set<Job> jobsWithUnreadableAdmissions = new HashSet<>();

    UnreadableRecords(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Adds an open job whose own record can't be read. It counts only if some of its tasks were admitted. */
    void addOpenJob(String id, String key, Map<String, Object> value, Exception exception) {
        teamByJob.put(id, JobRecordCodec.team(value));
        logOnce(key, exception);
    }

    /** Whether the record of this open job can't be read. */
    boolean containsOpenJob(String id) {
        return teamByJob.containsKey(id);
    }

    /** Counts an admission of an open job whose own record can't be read. */
    void countAdmissionOfOpenJob(String id) {
        cluster.quotaUsage.blockForUnreadableJob(teamByJob.get(id));
    }

    /**
     * Adds an unreadable admission of a job. The job is marked as stale, so that nothing is decided about it: where its
     * tasks run is unknown.
     */
    void addAdmission(Job job, String key, Exception exception) {
        job.markStale();
        jobsWithUnreadableAdmissions.add(job);
        logOnce(key, exception);
    }

    /** Counts an unreadable record of an ended job's tasks that may still be on machines. */
    void addOutstanding(String key, Map<String, Object> value, Exception exception) {
        cluster.quotaUsage.blockForUnreadableJob(JobRecordCodec.team(value));
        logOnce(key, exception);
    }

    /** Called after all records are read: counts all unbooked tasks of jobs with unreadable admissions. */
    void countUnbookedTasks() {
        for (Job job : jobsWithUnreadableAdmissions) {
            cluster.quotaUsage.addUnreadable(
                    job.spec(), job.spec().tasks() - job.bookings().size());
        }
        jobsWithUnreadableAdmissions.clear();
    }

    private void logOnce(String key, Exception exception) {
        if (loggedKeys.add(key)) {
            LOG.error("{}: unreadable record, its tasks count against the quota: {}", key, exception.toString());
        }
    }
}
