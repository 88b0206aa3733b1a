package org.weldcourse.persistence;

import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.RateLimiter;
import org.weldcourse.store.RetryingCommit;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.store.Transaction;

/** A leader's writes: each is fenced by the token of its term, and together they keep to a part of the budget of changes. */
final class FencedCommits {
    /** Background writes leave this share of the budget to users and other controllers. */
    private static final double SHARE_OF_WRITES = 0.7;
    /** A longer burst of the leader's would leave the next submissions none of the second's worth that is allowed. */
    private static final double BURST_SECONDS = 0.5;

    private static final double LEFT_BY_BACKGROUND = 0.2;
    private static final String FENCING_TOKEN_KEY = "epoch";

    private final Store store;
    private final Timers timers;
    private final double writesPerSecond;
    private final long fencingTokenVersion;
    private final RateLimiter pacer;
    private final Runnable superseded;
    private boolean ended;

    /** What goes into a transaction besides the condition on the fencing token. */
    public interface TransactionContent {
        /** Adds conditions and changes. */
        void addTo(Transaction txn);
    }

    /** {@code superseded} runs when the condition on the fencing token failed. */
    FencedCommits(
            Store store,
            Clock clock,
            Timers timers,
            Settings.StoreLimits limits,
            long fencingTokenVersion,
            Runnable superseded) {
        this.store = store;
        this.timers = timers;
        this.writesPerSecond = limits.safeWritesPerSecond();
        this.fencingTokenVersion = fencingTokenVersion;
        this.superseded = superseded;
        this.pacer = new RateLimiter(
                clock, writesPerSecond * SHARE_OF_WRITES, writesPerSecond * SHARE_OF_WRITES * BURST_SECONDS);
    }

    /** Nothing more is written, and no answer counts any more. */
    void end() {
        ended = true;
    }

    boolean isEnded() {
        return ended;
    }

    /** A transaction that is carried out only while no other leader was elected. */
    Transaction fenced() {
        return new Transaction().ifModRevision(FENCING_TOKEN_KEY, fencingTokenVersion);
    }

    /** Sends a transaction until its fate is certain. */
    void send(Transaction txn, RetryingCommit.Callback done) {
        pacer.consume(txn.operationCount());
        RetryingCommit.send(store, timers, txn, () -> !ended, (commit, unclear) -> {
            if (commit.outcome() == Outcome.REFUSED && commit.failed().contains(FENCING_TOKEN_KEY)) {
                superseded.run();
                return;
            }
            done.accept(commit, unclear);
        });
    }

    /** Writes something that can wait; false when the budget of changes has no room for it now. */
    boolean writeInBackground(TransactionContent content, RetryingCommit.Callback done) {
        if (!mayWriteInBackground()) {
            return false;
        }
        Transaction txn = fenced();
        content.addTo(txn);
        send(txn, done);
        return true;
    }

    /** Admissions and endings come first: bookkeeping has to leave some of the budget. */
    boolean mayWriteInBackground() {
        return pacer.tryAcquireAboveReserve(writesPerSecond * LEFT_BY_BACKGROUND);
    }

    /** How many changes the budget has room for now. */
    int available() {
        return pacer.available();
    }
}
