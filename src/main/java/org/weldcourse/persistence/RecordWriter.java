package org.weldcourse.persistence;

import java.util.List;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.Job;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.RetryingCommit;
import org.weldcourse.store.Store;
import org.weldcourse.store.Transaction;

/**
 * Puts a leader's decisions on record: admissions, finished tasks and the ends of jobs. Every commit is fenced by the token
 * of the leader's term, and of one job's records one commit is under way at a time.
 */
public final class RecordWriter {
    private static final long SAVE_DONE_MICROS = 8_000_000;

    private final Clock clock;
    private final Listener listener;
    private final FencedCommits fenced;
    private final JobCloser closer;
    private final FinishedTaskLayout layout;
    private final JobRecordCommits jobRecords;
    private final AdmissionRecords admissions;
    private final FinishedTaskShards shards;

    /** What the term is told. */
    public interface Listener {
        /** Something is on record that workers or the next cycle may act on. */
        void recordWritten(Job job);

        /** The job's record is not of the revision that was thought: it has to be read again. */
        void jobRecordChanged(Job job);

        /** The fencing token is not the term's any more: another leader was elected. */
        void fencingTokenSuperseded();

        /** Adds what has to hold, besides job and fencing token, when the job is admitted. */
        default void addAdmissionConditions(Transaction admission, Job job) {}

        /** A write of the job's records was refused, since these keys are not of the versions that were thought. */
        default void conditionsFailed(Job job, List<Object> keys) {}
    }

    /** A writer for the term whose fencing token is of this version. */
    public RecordWriter(
            Store store,
            Clock clock,
            Timers timers,
            Settings.StoreLimits limits,
            long fencingTokenVersion,
            Listener listener) {
        this.clock = clock;
        this.listener = listener;
        this.layout = new FinishedTaskLayout(limits);
        this.fenced =
                new FencedCommits(store, clock, timers, limits, fencingTokenVersion, listener::fencingTokenSuperseded);
        ConfirmedCommits confirmed = new ConfirmedCommits(store, timers, fenced);
        this.closer = new JobCloser(timers, fenced, confirmed, limits, listener);
        this.jobRecords = new JobRecordCommits(store, clock, timers, fenced, confirmed, listener);
        this.admissions = new AdmissionRecords(fenced, jobRecords, layout, limits.safeTxnOps());
        this.shards = new FinishedTaskShards(fenced, jobRecords, layout, limits.safeTxnOps());
    }

    /** How many tasks one admission may hold so that its record fits one transaction however scattered they are. */
    public static int maxTasksPerAdmission(Settings.StoreLimits limits) {
        int bytes = Math.min(48 * 1024, limits.safeValueBytes() * Math.max(1, limits.safeTxnOps() - 2) / 2);
        return Math.max(1, Math.min(2_000, bytes / 16));
    }

    /** Ends with the term: nothing more is written, and no answer counts any more. */
    public void stop() {
        fenced.end();
    }

    /** Writes something that can wait; false when the budget of changes has no room for it now. */
    public boolean writeInBackground(FencedCommits.TransactionContent content, RetryingCommit.Callback done) {
        return fenced.writeInBackground(content, done);
    }

    /** Moves a job that is over to its final record. */
    public void close(Job job) {
        closer.close(job);
    }

    /** Deletes records that no open job needs any more. */
    public void deleteInBackground(List<String> keys) {
        closer.deleteInBackground(keys);
    }

    /** How many admissions the budget of changes has room for now. */
    public int maxAdmissions() {
        return fenced.available();
    }

    /** Told whether an admission, or a save of finished tasks, is on record. */
    public interface WriteCallback {
        /** Called once, when it is certain what became of the write. */
        void completed(boolean onRecord);
    }

    /** Records an admission on the revision of the job that it was decided on. */
    public void admit(Job job, int attempt, List<Booking> booked, WriteCallback then) {
        if (job.records().isWriteInFlight()) {
            // What the write under way holds does not count as standing yet: this one would take it out of the record.
            then.completed(false);
            return;
        }
        Transaction txn = fenced.fenced();
        listener.addAdmissionConditions(txn, job);
        admissions.admit(job, attempt, booked, txn, then);
    }

    /**
     * Records the finished tasks of a job that goes on, now and then: its admissions carry them along anyway, and a
     * successor hears of them from the workers too, as long as those were not told to forget them.
     */
    public void saveFinishedTasks(Job job) {
        if (job.records().isWriteInFlight() || !job.hasUnpersistedDone() || !fenced.mayWriteInBackground()) {
            return;
        }
        // Until a job's finished tasks have moved to shards it may not be admitted anew, so those do not wait.
        if (!job.mustMoveDoneToShards() && clock.nowMicros() - job.records().lastWriteMicros() < SAVE_DONE_MICROS) {
            return;
        }
        WriteCallback then = onRecord -> {
            if (onRecord) {
                listener.recordWritten(job);
            }
        };
        if (layout.isInAdmissions(job)) {
            admissions.saveDone(job, then);
        } else {
            shards.save(job, then);
        }
    }

    /** A restorer of the records that this writer writes. */
    JobRecordRestorer restorer() {
        return new JobRecordRestorer(layout);
    }

    /** Reads the revisions of a job's records anew, after a write that they refused. */
    void rereadRevisions(Job job, Runnable then) {
        jobRecords.rereadRevisions(job, then);
    }
}
