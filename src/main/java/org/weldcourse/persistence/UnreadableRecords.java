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

/** Records that can't be read, or are of a version to come: each is named once, and what it may have admitted counts as taken. */
final class UnreadableRecords {
    private static final Logger LOG = LoggerFactory.getLogger(UnreadableRecords.class);

    private final ClusterState cluster;
    /** Open jobs whose own record can't be read, with their team where that much is known, or null. */
    private final Map<String, String> teamByJob = new HashMap<>();

    private final Set<String> named = new HashSet<>();
    private final Set<Job> jobs = new HashSet<>();

    UnreadableRecords(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** The record of an open job can't be read; as long as nothing of it was admitted, nothing has to be counted. */
    void openJob(String id, String key, Map<String, Object> value, Exception why) {
        teamByJob.put(id, JobRecordCodec.team(value));
        name(key, why);
    }

    /** Whether the record of this open job can't be read. */
    boolean isOpenJob(String id) {
        return teamByJob.containsKey(id);
    }

    /** Something of an open job was admitted whose own record can't be read. */
    void admissionOfOpenJob(String id) {
        cluster.quotaUsage.blockForUnreadableJob(teamByJob.get(id));
    }

    /** What was admitted of a job can't be read: nobody knows what runs where, and nothing is decided about the job. */
    void admission(Job job, String key, Exception why) {
        job.markStale();
        jobs.add(job);
        name(key, why);
    }

    /** What may still be on machines of a job that is over can't be read. */
    void outstanding(String key, Map<String, Object> value, Exception why) {
        cluster.quotaUsage.blockForUnreadableJob(JobRecordCodec.team(value));
        name(key, why);
    }

    /** All records were read: of the jobs whose admissions can't be, every task counts that is not booked. */
    void allRead() {
        for (Job job : jobs) {
            cluster.quotaUsage.addUnreadable(
                    job.spec(), job.spec().tasks() - job.bookings().size());
        }
        jobs.clear();
    }

    private void name(String key, Exception why) {
        if (named.add(key)) {
            LOG.error("{}: can't be read, and counts as room taken: {}", key, why.toString());
        }
    }
}
