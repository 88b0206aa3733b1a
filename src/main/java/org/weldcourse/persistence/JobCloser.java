package org.weldcourse.persistence;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.FinalStateCodec;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Transaction;

/** Moves ended jobs to their final records, and deletes their other records in the background. */
final class JobCloser {
    private static final Logger LOG = LoggerFactory.getLogger(JobCloser.class);
    private static final long DELETE_RETRY_MICROS = 1_000_000;

    private final Timers timers;
    private final FencedCommits fenced;
    private final ConfirmedCommits commits;
    private final int safeTransactionOps;
    private final int safeValueBytes;
    private final RecordWriter.Listener listener;

    JobCloser(
            Timers timers,
            FencedCommits fenced,
            ConfirmedCommits commits,
            Settings.StoreLimits limits,
            RecordWriter.Listener listener) {
        this.timers = timers;
        this.fenced = fenced;
        this.commits = commits;
        this.safeTransactionOps = limits.safeTransactionOps();
        this.safeValueBytes = limits.safeValueBytes();
        this.listener = listener;
    }

    /**
     * Replaces the open record of an ended job by its final record; its other records are deleted in the background.
     * The same transaction writes a record of the tasks that may still be on machines, so that the next leader counts
     * them.
     */
    void close(Job job) {
        if (job.isClosing() || job.isClosed() || job.records().isWriteInFlight() || job.isAdmissionUnderWay()) {
            return;
        }
        Map<String, Object> outstanding =
                job.bookings().isEmpty() ? null : OutstandingRecord.encode(job, safeValueBytes);
        if (outstanding == null && !job.bookings().isEmpty()) {
            // The record exceeds the store's value size. The job ends once there is evidence that its tasks are gone.
            return;
        }
        job.beginClosing();
        String id = job.spec().id();
        String outcome = job.isCancelled() ? "cancelled" : "done";
        Transaction txn = fenced.newTransaction()
                .ifModRevision(StoreKeys.openJob(id), job.records().jobRevision())
                .delete(StoreKeys.openJob(id))
                .put(StoreKeys.finalState(id), FinalStateCodec.encode(job.isCancelled(), job.doneCount()));
        if (outstanding != null) {
            job.markOutstandingPersisted();
            txn.put(StoreKeys.outstanding(id), outstanding);
        }
        List<String> otherKeys = new ArrayList<>(job.records().keys());
        commits.send(id, txn, StoreKeys.finalState(id), isThere -> true, new ConfirmedCommits.Result() {
            @Override
            public void written(long modRevision) {
                closed(job, outcome, otherKeys);
            }

            @Override
            public void refused() {
                job.abortClosing();
                listener.jobRecordChanged(job);
            }
        });
    }

    private void closed(Job job, String outcome, List<String> otherKeys) {
        LOG.info("{} is {}", job.spec().id(), outcome);
        job.markClosed();
        deleteInBackground(otherKeys);
        listener.recordWritten(job);
    }

    /** Deletes records that are no longer needed, in batches, when the write budget allows it. */
    void deleteInBackground(List<String> keys) {
        if (keys.isEmpty() || fenced.isStopped()) {
            return;
        }
        if (!fenced.tryAcquireBackgroundWrite()) {
            timers.after(DELETE_RETRY_MICROS, () -> deleteInBackground(keys));
            return;
        }
        int batchSize = Math.min(keys.size(), Math.max(1, safeTransactionOps / 2));
        Transaction txn = fenced.newTransaction();
        keys.subList(0, batchSize).forEach(txn::delete);
        List<String> rest = new ArrayList<>(keys.subList(batchSize, keys.size()));
        fenced.send(txn, (commit, afterUnansweredAttempt) -> deleteInBackground(rest));
    }
}
