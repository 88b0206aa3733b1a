package org.weldcourse.store;

import java.util.function.BooleanSupplier;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store.Outcome;

/**
 * Retries a transaction every 250 ms until the store returns a definite outcome ({@link Outcome#OK},
 * {@link Outcome#REFUSED} or {@link Outcome#INVALID}). A commit without a response may have been applied, or
 * may be applied later; retrying the same transaction is safe because its compare conditions can hold only once.
 */
public final class RetryingCommit {
    private static final long RETRY_MICROS = 250_000;

    private final Store store;
    private final Timers timers;
    private final Transaction transaction;
    private final BooleanSupplier stillNeeded;
    private final Callback callback;
    private boolean afterTimeout;

    /** Receives the definite outcome. */
    public interface Callback {
        /**
         * Called once.
         *
         * @param afterTimeout whether an earlier attempt timed out or lost its connection. That attempt may have been
         *     applied and be the cause of {@link Outcome#REFUSED}; the keys must be read back to find out.
         */
        void accept(Store.Commit commit, boolean afterTimeout);
    }

    private RetryingCommit(
            Store store, Timers timers, Transaction transaction, BooleanSupplier stillNeeded, Callback callback) {
        this.store = store;
        this.timers = timers;
        this.transaction = transaction;
        this.stillNeeded = stillNeeded;
        this.callback = callback;
    }

    /**
     * Sends the transaction until its outcome is definite, then calls {@code callback}. Once {@code stillNeeded}
     * returns false, no further attempt is made and {@code callback} is not called.
     */
    public static void send(
            Store store, Timers timers, Transaction transaction, BooleanSupplier stillNeeded, Callback callback) {
        new RetryingCommit(store, timers, transaction, stillNeeded, callback).attempt();
    }

    private void attempt() {
        if (!stillNeeded.getAsBoolean()) {
            return;
        }
        store.commit(transaction, commit -> {
            if (!stillNeeded.getAsBoolean()) {
                return;
            }
            if (isDefinite(commit.outcome())) {
                callback.accept(commit, afterTimeout);
                return;
            }
            afterTimeout |= commit.outcome() == Outcome.UNKNOWN;
            timers.after(RETRY_MICROS, this::attempt);
        });
    }

    private static boolean isDefinite(Outcome outcome) {
        return outcome == Outcome.OK || outcome == Outcome.REFUSED || outcome == Outcome.INVALID;
    }
}
