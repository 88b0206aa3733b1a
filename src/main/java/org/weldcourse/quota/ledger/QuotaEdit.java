package org.weldcourse.quota.ledger;

import org.weldcourse.store.Transaction;

/**
 * An operator's change to one record. Each attempt applies it to the current contents of the ledger.
 *
 * <p>The spec of a record is what operators configure: the record without its version and its budgets, which the leader
 * changes frequently.
 */
interface QuotaEdit<T> {
    /** Returns the current spec of the record. */
    T spec(LedgerContents contents);

    /** Returns the record with the change applied, under its current version. */
    T changed(LedgerContents contents);

    /** Returns the same record with another version. */
    T withVersion(T quota, long version);

    /**
     * Checks the changed record against the rules of the ledger.
     *
     * @throws QuotaLedgerException if the change breaks a rule
     */
    void check(LedgerContents contents) throws QuotaLedgerException;

    /** Returns the transaction that writes the change. */
    Transaction transaction(LedgerContents contents);

    /** Returns the spec as the error message of a concurrent change shows it, in the format of earlier versions. */
    String describe(T spec);
}
