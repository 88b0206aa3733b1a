package org.weldcourse.quota.ledger;

import java.util.function.Consumer;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;

/**
 * Changes quota records on behalf of operators. A new limit is in force as soon as its conditional write succeeds: the
 * write changes the record's version, which invalidates all budgets granted under the old one: the store
 * refuses every write that is still based on the old version.
 *
 * <p>A change to a team in a cohort writes the cohort's record too. Of two concurrent changes that are each valid but
 * not valid together, only one can then succeed.
 */
public final class QuotaEditor {
    /**
     * The leader may change budgets during an edit. Such a conflict is retried, because it is no reason to fail the
     * edit.
     */
    private static final int RETRIES = 20;

    private final Store store;

    /** Creates an editor for the ledger in this store. */
    public QuotaEditor(Store store) {
        this.store = store;
    }

    /** The result of an edit: either the stored record or the reason for the failure. The other is null. */
    public record Result<T>(T storedRecord, QuotaLedgerException failure) {
        /** Returns whether the change is stored. */
        public boolean isChanged() {
            return failure == null;
        }

        /** Returns the stored record, or throws the reason for the failure. */
        public T orThrow() throws QuotaLedgerException {
            if (failure != null) {
                throw failure;
            }
            return storedRecord;
        }

        /** Returns why the edit failed, or null. */
        public String problem() {
            return failure == null ? null : failure.getMessage();
        }
    }

    /** Changes the quota of one team. */
    public void set(Settings.Team team, QuotaChange change, Consumer<? super Result<TeamQuota>> callback) {
        apply(new TeamQuotaEdit(team, change), change, callback);
    }

    /** Changes the quota of a cohort, or creates the cohort. */
    public void setCohort(String name, QuotaChange change, Consumer<? super Result<CohortQuota>> callback) {
        apply(new CohortQuotaEdit(name, change), change, callback);
    }

    private <T> void apply(QuotaEdit<T> edit, QuotaChange change, Consumer<? super Result<T>> callback) {
        try {
            change.validateAmounts();
        } catch (QuotaLedgerException invalid) {
            callback.accept(new Result<>(null, invalid));
            return;
        }
        new QuotaEditAttempt<>(store, edit, callback).start(RETRIES);
    }
}
