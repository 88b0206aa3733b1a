package org.weldcourse.jobs;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Entry;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.store.Transaction;

/**
 * Cancels a job by a compare-and-swap on its record; the leader sees the change through its watch. The request is
 * idempotent: the answer for a job that is already cancelled or finished is its status.
 */
final class JobCancellation {
    private static final Logger LOG = LoggerFactory.getLogger(JobCancellation.class);
    private static final int MAX_TRIES = 4;

    private final Store store;
    private final JobStatusQueries statusQueries;
    private final CancellationConfirmation confirmation;
    private final int maxRecordBytes;

    JobCancellation(
            Store store, JobStatusQueries statusQueries, CancellationConfirmation confirmation, int maxRecordBytes) {
        this.store = store;
        this.statusQueries = statusQueries;
        this.confirmation = confirmation;
        this.maxRecordBytes = maxRecordBytes;
    }

    /** Cancels the job if it is open, then replies with its status. */
    void cancel(String id, Reply reply) {
        readAndCancel(id, MAX_TRIES, reply);
    }

    private void readAndCancel(String id, int triesLeft, Reply reply) {
        store.get(StoreKeys.openJob(id), read -> {
            if (read.outcome() == Outcome.REFUSED) {
                statusQueries.answerFinal(id, reply, () -> JobReplies.noSuchJob(reply));
            } else if (read.outcome() != Outcome.OK) {
                JobReplies.storeFailed(reply, read.outcome());
            } else if (JobRecordCodec.isCancelled(read.entry().value())) {
                confirmation.reply(JobStatus.cancelled(id), reply);
            } else {
                writeCancellation(id, read.entry(), triesLeft, reply);
            }
        });
    }

    private void writeCancellation(String id, Entry openJob, int triesLeft, Reply reply) {
        Map<String, Object> record = openJob.value();
        JobRecordCodec.setCancelled(record);
        if (Json.bytes(record).length > maxRecordBytes) {
            // The job was accepted under larger limits. Removing the fields for scheduling makes room for the flag.
            JobRecordCodec.clearSchedulingFields(record);
        }
        Transaction txn = new Transaction()
                .ifModRevision(StoreKeys.openJob(id), openJob.modRevision())
                .put(StoreKeys.openJob(id), record);
        store.commit(txn, commit -> {
            Outcome outcome = commit.outcome();
            if (outcome == Outcome.OK) {
                LOG.info("{}: cancelled by its user, revision {}", id, commit.revision());
                confirmation.reply(JobStatus.cancelled(id), reply);
            } else if (triesLeft > 1 && (outcome == Outcome.REFUSED || outcome == Outcome.UNKNOWN)) {
                // The record has changed, or the outcome of this write is unknown: read the record again.
                readAndCancel(id, triesLeft - 1, reply);
            } else {
                JobReplies.storeFailed(reply, outcome);
            }
        });
    }
}
