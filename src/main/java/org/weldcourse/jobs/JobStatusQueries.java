package org.weldcourse.jobs;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;

/** Answers status queries from the view of the open jobs and from the records of final states. */
final class JobStatusQueries {
    private static final Logger LOG = LoggerFactory.getLogger(JobStatusQueries.class);
    private static final int MAX_CACHED_FINAL_STATES = 4_000;

    private final Store store;
    private final OpenJobsView openJobs;
    private final CancellationConfirmation confirmation;
    /**
     * Only final states may be cached. Created with the first entry, because its creation would delay the start of the
     * process.
     */
    private Cache<String, JobStatus> finalStates;

    JobStatusQueries(Store store, OpenJobsView openJobs, CancellationConfirmation confirmation) {
        this.store = store;
        this.openJobs = openJobs;
        this.confirmation = confirmation;
    }

    /** Whether this node has seen the job before; a hint from local state, which may be out of date. */
    boolean hasSeen(String id) {
        return openJobs.hasSeen(id) || cached(id) != null;
    }

    /**
     * Replies with the job's status, or runs {@code onNotFound} if it was never accepted. The open jobs are read before
     * the final states: a job moves from the former to the latter in one transaction and never back, so it can't be
     * missed.
     */
    void answer(String id, Reply reply, Runnable onNotFound) {
        JobStatus cached = cached(id);
        if (cached != null) {
            replyFinal(reply, cached);
            return;
        }
        if (openJobs.isFull()) {
            JobReplies.tooManyQueries(reply);
            return;
        }
        openJobs.query(id, (outcome, result) -> {
            if (outcome != Outcome.OK) {
                JobReplies.storeFailed(reply, outcome);
            } else if (!result.isOpen()) {
                answerFinal(id, reply, onNotFound);
            } else if (result.isCancelled()) {
                confirmation.reply(JobStatus.cancelled(id), reply);
            } else {
                JobReplies.status(reply, JobStatus.open(id, result.admittedTasks()));
            }
        });
    }

    /** Replies with the final state of a job that is not open, or runs {@code onNotFound} if it has none. */
    void answerFinal(String id, Reply reply, Runnable onNotFound) {
        store.get(StoreKeys.finalState(id), read -> {
            if (read.outcome() == Outcome.REFUSED) {
                onNotFound.run();
            } else if (read.outcome() != Outcome.OK) {
                JobReplies.storeFailed(reply, read.outcome());
            } else {
                JobStatus status = FinalStateCodec.decode(id, read.entry().value());
                LOG.debug(
                        "{}: answered with final state {} of revision {}",
                        id,
                        status.state(),
                        read.entry().modRevision());
                cache(status);
                replyFinal(reply, status);
            }
        });
    }

    private void replyFinal(Reply reply, JobStatus status) {
        if (status.state().equals(JobStatus.CANCELLED)) {
            confirmation.reply(status, reply);
        } else {
            JobReplies.status(reply, status);
        }
    }

    private JobStatus cached(String id) {
        return finalStates == null ? null : finalStates.getIfPresent(id);
    }

    private void cache(JobStatus status) {
        if (finalStates == null) {
            finalStates = Caffeine.newBuilder()
                    .maximumSize(MAX_CACHED_FINAL_STATES)
                    .executor(Runnable::run)
                    .build();
        }
        finalStates.put(status.id(), status);
    }
}
