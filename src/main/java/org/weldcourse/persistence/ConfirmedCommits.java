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
 * Fenced commits of records, each of whose fate becomes certain: where no answer tells it, one of the records is read back
 * until it shows whether the commit was applied. A term that ended hears of nothing more.
 */
final class ConfirmedCommits {
    private static final Logger LOG = LoggerFactory.getLogger(ConfirmedCommits.class);
    /** What the store calls malformed must not be sent again and again as it is. */
    private static final long MALFORMED_PAUSE_MICROS = 5_000_000;

    static final long READ_AGAIN_MICROS = 250_000;

    private final Store store;
    private final Timers timers;
    private final FencedCommits commits;

    /** Told once what became of a commit. */
    interface Result {
        /** The records are in the store, as of this revision. */
        void written(long modRevision);

        /** The store answered that these keys are not of the revisions that were thought; {@link #refused} follows. */
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
     * Sends a commit of a job's records.
     *
     * @param key one of the keys that the commit writes
     * @param isOurs whether what is read back under that key was written by this commit
     */
    void send(String jobId, Transaction txn, String key, Predicate<Store.Entry> isOurs, Result result) {
        commits.send(txn, (commit, afterUnansweredAttempt) -> {
            if (commit.outcome() == Outcome.OK) {
                result.written(commit.revision());
            } else if (commit.outcome() == Outcome.INVALID) {
                LOG.error("{}: the store calls its record {} malformed", jobId, key);
                timers.after(MALFORMED_PAUSE_MICROS, () -> readBack(key, isOurs, result));
            } else if (afterUnansweredAttempt) {
                // The conditions failed because an earlier attempt went through, or because something else changed.
                readBack(key, isOurs, result);
            } else {
                result.conditionsFailed(commit.failed());
                result.refused();
            }
        });
    }

    private void readBack(String key, Predicate<Store.Entry> isOurs, Result result) {
        if (commits.isEnded()) {
            return;
        }
        store.get(key, read -> {
            if (commits.isEnded()) {
                return;
            }
            if (read.outcome() == Outcome.OK && isOurs.test(read.entry())) {
                result.written(read.entry().modRevision());
            } else if (read.outcome() == Outcome.OK || read.outcome() == Outcome.REFUSED) {
                result.refused();
            } else {
                timers.after(READ_AGAIN_MICROS, () -> readBack(key, isOurs, result));
            }
        });
    }
}
