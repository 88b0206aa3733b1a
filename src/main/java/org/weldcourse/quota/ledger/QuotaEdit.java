package org.weldcourse.quota.ledger;

import org.weldcourse.store.Transaction;

/**
 * An operator's change of one record, worked out anew on whatever the ledger holds when it is tried. The terms of a record
 * are what operators set of it: all but its version and its budgets, which the leader changes all the time.
 */
interface QuotaEdit<T> {
    /** The record's terms as they stand. */
    T terms(LedgerContents contents);

    /** The record with the change, under the version that stands. */
    T changed(LedgerContents contents);

    /** The same record under another version. */
    T withVersion(T quota, long version);

    /** Refuses a change that breaks a rule of the ledger. */
    void check(LedgerContents contents) throws QuotaLedgerException;

    /** The one write that makes the change. */
    Transaction transaction(LedgerContents contents);

    /** The terms in the words that the command has always printed them in. */
    String describe(T terms);
}
