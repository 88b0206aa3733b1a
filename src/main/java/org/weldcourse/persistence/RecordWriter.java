package org.weldcourse.persistence;

import java.util.List;
import org.weldcourse.cluster.Admission;
import org.weldcourse.cluster.Job;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.RetryingCommit;
import org.weldcourse.store.Store;
import org.weldcourse.store.Transaction;

/**
 * Persists a leader's decisions: admissions, finished tasks and the ends of jobs. Every commit is fenced by the token
 * of the leader's term, and at most one commit per job is in flight.
 */
public final class RecordWriter {
    private static final long FINISHED_TASKS_SAVE_INTERVAL_MICROS = 8_000_000;

    private final Clock clock;
    private final Listener listener;
    private final FencedCommits fenced;
    private final JobCloser jobCloser;
    private final FinishedTaskLayout layout;
    private final JobRecordCommits jobRecords;
    private final AdmissionRecords admissions;
    private final FinishedTaskShards shards;

    /** Receives the results of writes. */
    public interface Listener {
        /** A write succeeded that workers or the next admission cycle may act on. */
        void recordWritten(Job job);

        /** The job's record has another revision than expected: it must be read again. */
        void jobRecordChanged(Job job);

        /** The fencing token has changed: another leader was elected. */
        void fencingTokenSuperseded();

        /** Adds conditions to the admission of a job, besides those on the job and the fencing token. */
        default void addAdmissionConditions(Transaction admission, Job job) {}

        /** Whether a quota limit applies to the job, so that released tasks on record must be accounted for. */
        default boolean isQuotaLimited(Job job) {
            return false;
        }

        /**
         * Whether the limits allow what all records would admit after a write that takes this many released tasks of
         * the job off them.
         */
        default boolean allowsOnRecord(Job job, int tasksTakenOffRecord) {
            return true;
        }

        /** A write of the job's records was refused because these keys have other revisions than expected. */
        default void conditionsFailed(Job job, List<Object> keys) {}
    }

    /**
     * Creates a writer for one leader term.
     *
     * @param fencingTokenRevision the store's revision of the key that holds the term's fencing token
     */
    public RecordWriter(
            Store store,
            Clock clock,
            Timers timers,
            Settings.StoreLimits limits,
            long fencingTokenRevision,
            Listener listener) {
        this.clock = clock;
        this.listener = listener;
        this.layout = new FinishedTaskLayout(limits);
        this.fenced =
                new FencedCommits(store, clock, timers, limits, fencingTokenRevision, listener::fencingTokenSuperseded);
        ConfirmedCommits confirmed = new ConfirmedCommits(store, timers, fenced);
        this.jobCloser = new JobCloser(timers, fenced, confirmed, limits, listener);
        this.jobRecords = new JobRecordCommits(store, clock, timers, fenced, confirmed, listener);
        this.admissions = new AdmissionRecords(fenced, jobRecords, layout, limits.safeTransactionOps(), listener);
        this.shards = new FinishedTaskShards(fenced, jobRecords, layout, limits.safeTransactionOps());
    }

    /** The most tasks per admission for which its records fit one transaction, however the tasks are distributed. */
    public static int maxTasksPerAdmission(Settings.StoreLimits limits) {
        int bytes = Math.min(48 * 1024, limits.safeValueBytes() * Math.max(1, limits.safeTransactionOps() - 2) / 2);
        return Math.max(1, Math.min(2_000, bytes / 16));
    }

    /** Stops all writes at the end of the term, and ignores responses to those in flight. */
    public void stop() {
        fenced.stop();
    }

    /** Sends a write of low priority; returns false, and sends nothing, while the write budget is low. */
    public boolean writeInBackground(FencedCommits.TransactionContent content, RetryingCommit.Callback callback) {
        return fenced.writeInBackground(content, callback);
    }

    /** Replaces the open record of an ended job by its final record. */
    public void close(Job job) {
        jobCloser.close(job);
    }

    /** Deletes records that are no longer needed, when the write budget allows it. */
    public void deleteInBackground(List<String> keys) {
        jobCloser.deleteInBackground(keys);
    }

    /** The number of admissions that the write budget allows now. */
    public int maxAdmissions() {
        return fenced.availableOperations();
    }

    /** Receives the result of a write of an admission or of finished tasks. */
    public interface WriteCallback {
        /** Called once, when the result of the write is definite. */
        void completed(boolean persisted);
    }

    /** Writes an admission, conditional on the job's revision that the decision was based on. */
    public void admit(Job job, Admission admission, WriteCallback callback) {
        if (job.records().isWriteInFlight()) {
            // The bookings of the write in flight have no record key yet: this write would drop them from the record.
            callback.completed(false);
            return;
        }
        Transaction txn = fenced.newTransaction();
        listener.addAdmissionConditions(txn, job);
        admissions.admit(job, admission, txn, callback);
    }

    /**
     * Writes the finished tasks of an open job, at intervals. The interval may be long: the job's admissions contain
     * its finished tasks too, and workers report them to a successor as long as they were not told to forget them.
     */
    public void saveFinishedTasks(Job job) {
        if (job.records().isWriteInFlight() || !job.hasUnpersistedDone() || !fenced.tryAcquireBackgroundWrite()) {
            return;
        }
        // No interval if finished tasks must first move to shards: until then the job can't be admitted again.
        if (!job.mustMoveDoneToShards()
                && clock.nowMicros() - job.records().lastWriteMicros() < FINISHED_TASKS_SAVE_INTERVAL_MICROS) {
            return;
        }
        WriteCallback callback = persisted -> {
            if (persisted) {
                listener.recordWritten(job);
            }
        };
        if (layout.isInAdmissions(job)) {
            admissions.saveFinishedTasks(job, callback);
        } else {
            shards.save(job, callback);
        }
    }

    /**
     * Takes released tasks of an open job off its admission records, so that others may be admitted with their quota.
     * Sends nothing while another write of the job is in flight or the write budget is used up.
     */
    public void removeReleasedTasks(Job job) {
        boolean isWritable = !job.records().isWriteInFlight() && !job.isClosing() && !job.isClosed() && !job.isStale();
        if (!isWritable || fenced.availableOperations() <= 0) {
            return;
        }
        WriteCallback callback = persisted -> listener.recordWritten(job);
        if (!layout.isInAdmissions(job) && job.hasUnpersistedDone()) {
            shards.save(job, callback);
        } else {
            admissions.removeReleasedTasks(job, callback);
        }
    }

    /** Creates a restorer for the records that this writer writes. */
    JobRecordRestorer restorer() {
        return new JobRecordRestorer(layout);
    }

    /** Reads the revisions of a job's records again, after a write that failed its conditions on them. */
    void rereadRevisions(Job job, Runnable callback) {
        jobRecords.rereadRevisions(job, callback);
    }
}
