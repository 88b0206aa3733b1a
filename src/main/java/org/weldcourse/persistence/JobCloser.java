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

/** Moves jobs that are over to their final records, and deletes what else is on record of them in quieter times. */
final class JobCloser {
    private static final Logger LOG = LoggerFactory.getLogger(JobCloser.class);
    private static final long DELETE_AGAIN_MICROS = 1_000_000;

    private final Timers timers;
    private final FencedCommits fenced;
    private final ConfirmedCommits commits;
    private final int txnOps;
    private final int valueBytes;
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
        this.txnOps = limits.safeTxnOps();
        this.valueBytes = limits.safeValueBytes();
        this.listener = listener;
    }

    /**
     * Moves a job that is over to its final record; the rest of its records follow in their own time. What may still be on
     * machines is put on a record of its own in the same transaction, so that the next leader counts it too.
     */
    void close(Job job) {
        if (job.isClosing() || job.isClosed() || job.records().isWriteInFlight()) {
            return;
        }
        Map<String, Object> outstanding = job.bookings().isEmpty() ? null : OutstandingRecord.encode(job, valueBytes);
        if (outstanding == null && !job.bookings().isEmpty()) {
            // Too large to be kept: the job ends once there is evidence that nothing of it is left.
            return;
        }
        job.beginClosing();
        String id = job.spec().id();
        String state = job.isCancelled() ? "cancelled" : "done";
        Transaction txn = fenced.fenced()
                .ifModRevision(StoreKeys.openJob(id), job.records().jobRevision())
                .delete(StoreKeys.openJob(id))
                .put(StoreKeys.finalState(id), FinalStateCodec.encode(job.isCancelled(), job.doneCount()));
        if (outstanding != null) {
            job.markOutstandingPersisted();
            txn.put(StoreKeys.outstanding(id), outstanding);
        }
        // Bookkeeping is left for quieter times.
        List<String> rest = new ArrayList<>(job.records().keys());
        commits.send(id, txn, StoreKeys.finalState(id), isThere -> true, new ConfirmedCommits.Result() {
            @Override
            public void written(long modRevision) {
                closed(job, state, rest);
            }

            @Override
            public void refused() {
                job.abortClosing();
                listener.jobRecordChanged(job);
            }
        });
    }

    private void closed(Job job, String state, List<String> rest) {
        LOG.info("{} is {}", job.spec().id(), state);
        job.markClosed();
        deleteInBackground(rest);
        listener.recordWritten(job);
    }

    /** Deletes records that no open job needs any more. */
    void deleteInBackground(List<String> keys) {
        if (keys.isEmpty() || fenced.isEnded()) {
            return;
        }
        if (!fenced.mayWriteInBackground()) {
            timers.after(DELETE_AGAIN_MICROS, () -> deleteInBackground(keys));
            return;
        }
        int some = Math.min(keys.size(), Math.max(1, txnOps / 2));
        Transaction txn = fenced.fenced();
        keys.subList(0, some).forEach(txn::delete);
        List<String> rest = new ArrayList<>(keys.subList(some, keys.size()));
        fenced.send(txn, (commit, unclear) -> deleteInBackground(rest));
    }
}
