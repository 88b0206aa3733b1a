package org.weldcourse.quota.ledger;

import java.util.LinkedHashMap;
import java.util.Map;
import org.weldcourse.quota.ResourceAmount;

/**
 * A team's record together with the record of its cohort, as one view of the ledger shows them. Decisions based on them
 * are written on condition that both records still have these versions.
 *
 * @param cohort null if the team belongs to no cohort
 */
public record EffectiveQuota(TeamQuota team, CohortQuota cohort) {
    /**
     * Returns the newer of both record versions. Since that revision, no write that is conditional on older versions
     * can succeed.
     */
    public long version() {
        return cohort == null ? team.version() : Math.max(team.version(), cohort.version());
    }

    /** Returns whether the team belongs to the cohort with this name. */
    public boolean isIn(String cohortName) {
        return cohort != null && cohort.name().equals(cohortName);
    }

    /** Returns whether neither the team nor its cohort is limited, so that no reservations are needed. */
    public boolean isUnlimited() {
        return team.limit().isUnlimited() && (cohort == null || cohort.limit().isUnlimited());
    }

    /** Returns the versions, by key, on which the write of a decision must be conditional. */
    public Map<String, Long> guards() {
        Map<String, Long> guards = new LinkedHashMap<>();
        guards.put(QuotaRecordCodec.teamKey(team.name()), team.version());
        if (cohort != null) {
            guards.put(QuotaRecordCodec.cohortKey(cohort.name()), cohort.version());
        }
        return guards;
    }

    /**
     * Returns whether the budgets are valid: any change to the cohort's record after they were granted invalidates
     * them.
     */
    public boolean areBudgetsValid() {
        return cohort == null || team.budgetsCohortVersion() == cohort.version();
    }

    /** Returns the valid budget of a controller process, or zero. */
    public ResourceAmount budget(String owner) {
        return areBudgetsValid() ? team.budget(owner) : ResourceAmount.ZERO;
    }

    /** Returns the valid budgets by controller process. */
    public Map<String, ResourceAmount> budgets() {
        return areBudgetsValid() ? team.budgets() : Map.of();
    }
}
