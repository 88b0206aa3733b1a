package org.weldcourse.persistence;

import java.util.List;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.store.Transaction;

/**
 * Fenced commits of records with a definite result: after a commit without a response, one of its records is read back
 * to find out whether the commit was applied. No results are reported after the end of the term.
 */
final class ConfirmedCommits {
    private static final Logger LOG = LoggerFactory.getLogger(ConfirmedCommits.class);
    /** Pause after the store rejected a commit as malformed, so that the same commit is not retried immediately. */
    private static final long MALFORMED_PAUSE_MICROS = 5_000_000;

    static final long READ_RETRY_MICROS = 250_000;

    private final Store store;
    private final Timers timers;
    private final FencedCommits commits;

    /** Receives the result of a commit, once. */
    interface Result {
        /** The records were written, with this revision. */
        void written(long modRevision);

        /** The commit's conditions on the revisions of these keys failed; {@link #refused} follows. */
        default void conditionsFailed(List<Object> keys) {}

        /** Nothing was written. */
        void refused();
    }

    ConfirmedCommits(Store store, Timers timers, FencedCommits commits) {
        this.store = store;
        this.timers = timers;
        this.commits = commits;
    }

    /**
     * Sends a commit of a job's records and reports its result.
     *
     * @param key one of the keys that the commit writes
     * @param isOurs whether an entry that is read back under that key was written by this commit
     */
    void send(String jobId, Transaction txn, String key, Predicate<Store.Entry> isOurs, Result result) {
        commits.send(txn, (commit, afterUnansweredAttempt) -> {
            if (commit.outcome() == Outcome.OK) {
                result.written(commit.revision());
            } else if (commit.outcome() == Outcome.INVALID) {
                LOG.error("{}: the store rejected record {} as malformed", jobId, key);
                timers.after(MALFORMED_PAUSE_MICROS, () -> readBack(key, isOurs, result));
            } else if (afterUnansweredAttempt) {
                // The conditions failed because an earlier attempt was applied, or because of another change.
                readBack(key, isOurs, result);
            } else {
                result.conditionsFailed(commit.failed());
                result.refused();
            }
        });
    }

    private void readBack(String key, Predicate<Store.Entry> isOurs, Result result) {
        if (commits.isStopped()) {
            return;
        }
        store.get(key, read -> {
            if (commits.isStopped()) {
                return;
            }
            if (read.outcome() == Outcome.OK && isOurs.test(read.entry())) {
                result.written(read.entry().modRevision());
            } else if (read.outcome() == Outcome.OK || read.outcome() == Outcome.REFUSED) {
                result.refused();
            } else {
                timers.after(READ_RETRY_MICROS, () -> readBack(key, isOurs, result));
            }
        });
    }
}
