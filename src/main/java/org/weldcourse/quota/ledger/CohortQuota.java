package org.weldcourse.quota.ledger;

import org.weldcourse.quota.ResourceAmount;

/**
 * The ledger record of a cohort: the limit that its teams share. A team may borrow the unused guarantees of the other
 * teams in its cohort, and returns them when those teams claim them.
 *
 * @param version the mod revision of the record in the store, 0 before it is written
 */
public record CohortQuota(String name, ResourceAmount limit, OverQuotaPolicy overQuotaPolicy, long version) {
    /** Returns the initial record of a new cohort, without a limit. */
    static CohortQuota unlimited(String name) {
        return new CohortQuota(name, ResourceAmount.NO_LIMIT, OverQuotaPolicy.DRAIN, 0);
    }

    /** Returns the same record with another version. */
    public CohortQuota withVersion(long newVersion) {
        return new CohortQuota(name, limit, overQuotaPolicy, newVersion);
    }
}
