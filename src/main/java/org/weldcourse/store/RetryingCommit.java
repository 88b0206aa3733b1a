package org.weldcourse.store;

import java.util.function.BooleanSupplier;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store.Outcome;

/**
 * Sends one compare-and-swap again and again until the state service gives a definite answer ({@link Outcome#OK},
 * {@link Outcome#REFUSED} or {@link Outcome#INVALID}), 250 ms apart. A commit without an answer may have been applied,
 * or may be later; sending the very same one again settles it, since its compare conditions can hold only once.
 */
public final class RetryingCommit {
    private static final long RETRY_MICROS = 250_000;

    private final Store store;
    private final Timers timers;
    private final Transaction txn;
    private final BooleanSupplier awaited;
    private final Callback done;
    private boolean afterUnansweredAttempt;

    /** Told the definite answer. */
    public interface Callback {
        /**
         * {@code afterUnansweredAttempt}: an earlier attempt had no answer, so that a {@link Outcome#REFUSED} may be the
         * effect of that attempt having been applied, and the keys should be read back.
         */
        void accept(Store.Commit commit, boolean afterUnansweredAttempt);
    }

    private RetryingCommit(Store store, Timers timers, Transaction txn, BooleanSupplier awaited, Callback done) {
        this.store = store;
        this.timers = timers;
        this.txn = txn;
        this.awaited = awaited;
        this.done = done;
    }

    /**
     * Sends a compare-and-swap until its answer is definite, and tells {@code done} unless {@code awaited} has turned
     * false meanwhile (nobody waits for the result any more; then no further attempt is made).
     */
    public static void send(Store store, Timers timers, Transaction txn, BooleanSupplier awaited, Callback done) {
        new RetryingCommit(store, timers, txn, awaited, done).attempt();
    }

    private void attempt() {
        if (!awaited.getAsBoolean()) {
            return;
        }
        store.commit(txn, commit -> {
            if (!awaited.getAsBoolean()) {
                return;
            }
            if (isDefinite(commit.outcome())) {
                done.accept(commit, afterUnansweredAttempt);
                return;
            }
            afterUnansweredAttempt |= commit.outcome() == Outcome.UNKNOWN;
            timers.after(RETRY_MICROS, this::attempt);
        });
    }

    private static boolean isDefinite(Outcome outcome) {
        return outcome == Outcome.OK || outcome == Outcome.REFUSED || outcome == Outcome.INVALID;
    }
}
