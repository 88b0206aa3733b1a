package org.weldcourse.persistence;

import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.quota.enforcement.QuotaEnforcement;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;
import org.weldcourse.workers.WorkerLeaseRenewalBound;

/** Reads a leader's records: all of them when it is elected, and what changes of open jobs from then on. */
public final class RecordReader {
    private final OpenJobsWatch openJobs;
    private final FailoverRecovery recovery;

    /** What the term is told. */
    public interface Listener {
        /** All records were read, so many besides those of open jobs, as of this revision or a later one. */
        void recordsLoaded(int records, long revision);

        /** An open job became known. */
        void jobSeen(JobSpec job);

        /** Something was read that the next cycle may act on. */
        void jobsChanged();
    }

    /** A reader for one leader term; it reads nothing before {@link #load}. */
    public RecordReader(
            Store store,
            Clock clock,
            Timers timers,
            ClusterState cluster,
            QuotaEnforcement quotas,
            RecordWriter recorder,
            WorkerLeaseRenewalBound renewals,
            Listener listener) {
        UnreadableRecords unreadable = new UnreadableRecords(cluster);
        this.openJobs =
                new OpenJobsWatch(store, clock, timers, cluster, quotas, recorder, renewals, unreadable, listener);
        this.recovery = new FailoverRecovery(store, clock, timers, cluster, recorder, unreadable, listener);
    }

    /** Nothing that is still under way counts any more. */
    public void stop() {
        openJobs.end();
        recovery.end();
    }

    /** The open jobs first: what they show to be cancelled is all that answers to workers need for a start. */
    public void load() {
        openJobs.load(recovery::load);
    }

    /** Reads what changed of the open jobs at once, beside the watch that is under way. */
    public void readChanges() {
        openJobs.readChanges();
    }

    /**
     * A write was refused because the job's record is not what it was. The watch may lag, or may have told of a job
     * that is over by now: without reading it again the same write would be tried for ever.
     */
    public void rereadJob(Job job) {
        openJobs.rereadJob(job);
    }
}
