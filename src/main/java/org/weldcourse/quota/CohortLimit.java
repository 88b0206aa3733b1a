package org.weldcourse.quota;

/**
 * A cohort's record in the ledger: what its teams may use together. Teams borrow what others of their cohort leave of their
 * guarantees, and give it back when these claim it. {@code version} is 0 before the record is written.
 */
public record CohortLimit(String name, Amount limit, OverLimit overLimit, long version) {
    /** The same record as it stands under another version. */
    public CohortLimit withVersion(long newVersion) {
        return new CohortLimit(name, limit, overLimit, newVersion);
    }
}
