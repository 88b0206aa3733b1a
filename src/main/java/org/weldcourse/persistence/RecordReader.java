package org.weldcourse.persistence;

import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.quota.enforcement.QuotaEnforcement;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;
import org.weldcourse.workers.WorkerLeaseRenewalBound;

/** Reads a leader's records: all of them after its election, and then the changes of open jobs. */
public final class RecordReader {
    private final OpenJobsWatch openJobs;
    private final FailoverRecovery recovery;
    private final ReadBarrier readBarrier;

    /** Receives the results of reads. */
    public interface Listener {
        /**
         * All records were read.
         *
         * @param records the number of records without those of open jobs
         * @param revision the records are at least as new as this revision of the store
         */
        void recordsLoaded(int records, long revision);

        /** A new open job was read. */
        void jobLoaded(JobSpec job);

        /** Open jobs changed in a way that the next admission cycle may act on. */
        void jobsChanged();
    }

    /**
     * Creates a reader for one leader term; it reads nothing before {@link #load}.
     *
     * @param requestsPerSecond the store's request rate for all nodes together
     */
    public RecordReader(
            Store store,
            Clock clock,
            Timers timers,
            ClusterState cluster,
            QuotaEnforcement quotas,
            RecordWriter recordWriter,
            WorkerLeaseRenewalBound leaseRenewalBound,
            double requestsPerSecond,
            Listener listener) {
        UnreadableRecords unreadable = new UnreadableRecords(cluster);
        this.openJobs = new OpenJobsWatch(
                store, clock, timers, cluster, quotas, recordWriter, leaseRenewalBound, unreadable, listener);
        this.recovery = new FailoverRecovery(store, clock, timers, cluster, recordWriter, unreadable, listener);
        this.readBarrier = new ReadBarrier(clock, timers, requestsPerSecond, openJobs::readChanges);
    }

    /** Stops reading: responses to requests in flight are ignored. */
    public void stop() {
        openJobs.stop();
        recovery.stop();
        readBarrier.stop();
    }

    /**
     * Reads the open jobs and then the other records. During recovery, responses to heartbeats need only the cancelled
     * jobs, so the open jobs come first.
     */
    public void load() {
        openJobs.load(recovery::load);
    }

    /** Reads the changes of open jobs immediately for the quotas, in addition to the watch in flight. */
    public void readChangesForQuotas() {
        openJobs.readChangesForQuotas();
    }

    /** Lets callers wait until the open jobs were read by a later request; used only once all records are loaded. */
    public ReadBarrier readBarrier() {
        return readBarrier;
    }

    /**
     * Reads a job's record again after a write failed its condition on the record. The watch may lag, or the job may
     * have ended in the meantime: without this read the same write would be retried forever.
     */
    public void rereadJob(Job job) {
        openJobs.rereadJob(job);
    }
}
