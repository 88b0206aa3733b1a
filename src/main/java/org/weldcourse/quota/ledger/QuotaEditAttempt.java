package org.weldcourse.quota.ledger;

import java.util.function.Consumer;
import org.weldcourse.quota.ledger.QuotaLedgerException.Reason;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;

/**
 * Applies one edit by read and compare-and-swap. It retries until the outcome is certain or the retries are used up.
 */
final class QuotaEditAttempt<T> {
    private final Store store;
    private final QuotaEdit<T> edit;
    private final Consumer<? super QuotaEditor.Result<T>> callback;
    /** The spec that was stored when the edit began. */
    private T initialSpec;

    /** The spec that the edit would store. */
    private T desiredSpec;
    /** Whether an earlier write ended with an unknown outcome. */
    private boolean outcomeUnknown;

    QuotaEditAttempt(Store store, QuotaEdit<T> edit, Consumer<? super QuotaEditor.Result<T>> callback) {
        this.store = store;
        this.edit = edit;
        this.callback = callback;
    }

    /** Attempts the edit, and retries up to the given number of times after a conflict or an unknown outcome. */
    void start(int retries) {
        store.list(QuotaRecordCodec.PREFIX, listing -> {
            if (listing.outcome() != Outcome.OK) {
                fail(new QuotaLedgerException(
                        Reason.STORE_UNAVAILABLE,
                        "the state service does not answer"
                                + (outcomeUnknown ? "; check whether the change was made" : "")));
                return;
            }
            try {
                write(LedgerContents.read(listing), retries);
            } catch (UnreadableQuotaRecordException unreadable) {
                fail(new QuotaLedgerException(unreadable));
            } catch (QuotaLedgerException refused) {
                fail(refused);
            }
        });
    }

    private void write(LedgerContents contents, int retries) throws QuotaLedgerException {
        T spec = edit.spec(contents);
        if (initialSpec == null) {
            initialSpec = spec;
            desiredSpec = edit.withVersion(edit.changed(contents), 0);
        } else if (!initialSpec.equals(spec)) {
            resolveChangedSpec(contents, spec);
            return;
        }
        edit.check(contents);
        store.commit(edit.transaction(contents), commit -> {
            if (commit.outcome() == Outcome.OK) {
                succeed(edit.withVersion(edit.changed(contents), commit.revision()));
            } else if (commit.outcome() == Outcome.INVALID || retries == 0) {
                fail(new QuotaLedgerException(Reason.STORE_REFUSED, "the state service refuses the change"));
            } else {
                outcomeUnknown |= commit.outcome() == Outcome.UNKNOWN;
                start(retries - 1);
            }
        });
    }

    /**
     * Handles a spec that differs from the initial one: either an earlier attempt of this edit succeeded, or another
     * writer changed the record.
     */
    private void resolveChangedSpec(LedgerContents contents, T spec) throws QuotaLedgerException {
        if (!outcomeUnknown || !desiredSpec.equals(spec)) {
            throw new QuotaLedgerException(
                    Reason.CONCURRENT_CHANGE, "the record was changed meanwhile: " + edit.describe(spec));
        }
        succeed(edit.withVersion(edit.changed(contents), 0));
    }

    private void succeed(T storedRecord) {
        callback.accept(new QuotaEditor.Result<>(storedRecord, null));
    }

    private void fail(QuotaLedgerException failure) {
        callback.accept(new QuotaEditor.Result<>(null, failure));
    }
}
