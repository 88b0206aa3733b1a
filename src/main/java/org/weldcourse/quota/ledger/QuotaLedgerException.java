package org.weldcourse.quota.ledger;

/** Thrown when an operator's read or change of the ledger fails. The message is printed to the operator. */
public final class QuotaLedgerException extends Exception {
    private final Reason reason;

    /** The kind of failure. */
    public enum Reason {
        /** An amount is negative, not a number, or too large. */
        INVALID_AMOUNT,
        /** The guarantee would exceed the limit. */
        GUARANTEE_OVER_LIMIT,
        /** The ledger has no record of the cohort that the team would join. */
        UNKNOWN_COHORT,
        /** The cohort's limit would not cover the guarantees of its teams. */
        COHORT_TOO_SMALL,
        /** A ledger record is unreadable, so the change cannot be validated. */
        UNREADABLE_RECORD,
        /** Another writer changed the same record during the edit. */
        CONCURRENT_CHANGE,
        /** The store did not answer; the change may have been made. */
        STORE_UNAVAILABLE,
        /** The store refused the write. */
        STORE_REFUSED
    }

    QuotaLedgerException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    QuotaLedgerException(UnreadableQuotaRecordException cause) {
        super(cause.getMessage(), cause);
        this.reason = Reason.UNREADABLE_RECORD;
    }

    /** Returns the kind of failure. */
    public Reason reason() {
        return reason;
    }
}
