package org.weldcourse.quota.ledger;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.QuotaLedgerException.Reason;
import org.weldcourse.store.Store;

/** All ledger records from one listing, by team and cohort name. */
record LedgerContents(Map<String, TeamQuota> teams, Map<String, CohortQuota> cohorts) {
    static LedgerContents read(Store.Listing listing) throws UnreadableQuotaRecordException {
        LedgerContents contents = new LedgerContents(new HashMap<>(), new HashMap<>());
        for (Store.Entry entry : listing.entries()) {
            if (QuotaRecordCodec.isCohort(entry.key())) {
                CohortQuota cohort = QuotaRecordCodec.decodeCohort(entry);
                contents.cohorts.put(cohort.name(), cohort);
            } else {
                TeamQuota team = QuotaRecordCodec.decodeTeam(entry);
                contents.teams.put(team.name(), team);
            }
        }
        return contents;
    }

    /**
     * Checks that the cohort's limit covers the guarantees of its teams.
     *
     * @param changed a team's changed record, which replaces the stored one in the check, or null
     * @throws QuotaLedgerException if the guarantees exceed the limit
     */
    void requireCovered(CohortQuota cohort, TeamQuota changed) throws QuotaLedgerException {
        Map<String, TeamQuota> teamsAfterChange = new HashMap<>(teams);
        if (changed != null) {
            teamsAfterChange.put(changed.name(), changed);
        }
        ResourceAmount guarantees = ResourceAmount.ZERO;
        for (TeamQuota team : teamsAfterChange.values()) {
            if (cohort.name().equals(team.cohort())) {
                guarantees = guarantees.plus(team.guarantee());
            }
        }
        if (!guarantees.fitsInto(cohort.limit())) {
            throw new QuotaLedgerException(
                    Reason.COHORT_TOO_SMALL,
                    "cohort: " + cohort.name() + " with a limit of " + cohort.limit() + " can't cover guarantees of "
                            + guarantees);
        }
    }
}
