package org.weldcourse.persistence;

import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.RateLimiter;
import org.weldcourse.store.RetryingCommit;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.store.Transaction;

/**
 * A leader's writes: each is fenced by the token of its term, and they are rate-limited to a share of the write budget.
 */
final class FencedCommits {
    /** The leader's share of the write budget; the rest is left to user requests and other controllers. */
    private static final double LEADER_WRITE_SHARE = 0.7;
    /** A longer burst of the leader would use up the budget of one second and leave none to submissions. */
    private static final double BURST_SECONDS = 0.5;

    /** Background writes leave the write budget of this many seconds to admissions and the ends of jobs. */
    private static final double BACKGROUND_RESERVE_SECONDS = 0.2;

    private static final String FENCING_TOKEN_KEY = "epoch";

    private final Store store;
    private final Timers timers;
    private final double writesPerSecond;
    private final long fencingTokenRevision;
    private final RateLimiter rateLimiter;
    private final Runnable onSuperseded;
    private boolean stopped;

    /** Content of a transaction besides the condition on the fencing token. */
    public interface TransactionContent {
        /** Adds conditions and changes to the transaction. */
        void addTo(Transaction txn);
    }

    /**
     * Creates the writes of a term.
     *
     * @param onSuperseded runs when the condition on the fencing token has failed
     */
    FencedCommits(
            Store store,
            Clock clock,
            Timers timers,
            Settings.StoreLimits limits,
            long fencingTokenRevision,
            Runnable onSuperseded) {
        this.store = store;
        this.timers = timers;
        this.writesPerSecond = limits.safeWritesPerSecond();
        this.fencingTokenRevision = fencingTokenRevision;
        this.onSuperseded = onSuperseded;
        this.rateLimiter = new RateLimiter(
                clock, writesPerSecond * LEADER_WRITE_SHARE, writesPerSecond * LEADER_WRITE_SHARE * BURST_SECONDS);
    }

    /** Stops all writes, and ignores responses to those in flight. */
    void stop() {
        stopped = true;
    }

    boolean isStopped() {
        return stopped;
    }

    /** Creates a transaction that is applied only if no other leader was elected. */
    Transaction newTransaction() {
        return new Transaction().ifModRevision(FENCING_TOKEN_KEY, fencingTokenRevision);
    }

    /** Sends a transaction, with retries, until its result is definite. */
    void send(Transaction txn, RetryingCommit.Callback callback) {
        rateLimiter.consume(txn.operationCount());
        RetryingCommit.send(store, timers, txn, () -> !stopped, (commit, afterUnansweredAttempt) -> {
            if (commit.outcome() == Outcome.REFUSED && commit.failed().contains(FENCING_TOKEN_KEY)) {
                onSuperseded.run();
                return;
            }
            callback.accept(commit, afterUnansweredAttempt);
        });
    }

    /** Sends a write of low priority; returns false, and sends nothing, while the write budget is low. */
    boolean writeInBackground(TransactionContent content, RetryingCommit.Callback callback) {
        if (!tryAcquireBackgroundWrite()) {
            return false;
        }
        Transaction txn = newTransaction();
        content.addTo(txn);
        send(txn, callback);
        return true;
    }

    /** Takes a permit for a background write if that leaves the reserve for admissions and the ends of jobs. */
    boolean tryAcquireBackgroundWrite() {
        return rateLimiter.tryAcquireAboveReserve(writesPerSecond * BACKGROUND_RESERVE_SECONDS);
    }

    /** The number of operations that the write budget allows now. */
    int availableOperations() {
        return rateLimiter.available();
    }
}
