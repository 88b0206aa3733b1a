package org.weldcourse.quota.ledger;

import java.util.Map;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;

/**
 * The ledger record of a team: its guarantee and limit, the policy for usage above the limit, and the budgets from
 * which controllers may reserve at submission.
 *
 * @param cohort the cohort in which the team borrows unused guarantees, or null
 * @param budgets the budgets by controller process
 * @param budgetsCohortVersion the version of the cohort's record under which the budgets were granted
 * @param version the mod revision of this record in the store, 0 before it is written
 */
public record TeamQuota(
        String name,
        ResourceAmount guarantee,
        ResourceAmount limit,
        OverQuotaPolicy overQuotaPolicy,
        String cohort,
        Map<String, ResourceAmount> budgets,
        long budgetsCohortVersion,
        long version) {

    /** Creates a record without budgets. */
    public TeamQuota(
            String name,
            ResourceAmount guarantee,
            ResourceAmount limit,
            OverQuotaPolicy overQuotaPolicy,
            String cohort,
            long version) {
        this(name, guarantee, limit, overQuotaPolicy, cohort, Map.of(), 0, version);
    }

    /** Returns the initial record of a team: the quota from the settings, without a cohort. */
    public static TeamQuota ofSettings(Settings.Team team) {
        return new TeamQuota(
                team.name(),
                ResourceAmount.of(team.cpus(), team.gpus()),
                ResourceAmount.limit(team.cpusMax(), team.gpusMax()),
                OverQuotaPolicy.DRAIN,
                null,
                0);
    }

    /** Returns the same record with budgets that were granted under this version of the cohort's record. */
    public TeamQuota withBudgets(Map<String, ResourceAmount> newBudgets, long cohortVersion) {
        return new TeamQuota(name, guarantee, limit, overQuotaPolicy, cohort, newBudgets, cohortVersion, version);
    }

    /** Returns the same record with another version. */
    public TeamQuota withVersion(long newVersion) {
        return new TeamQuota(
                name, guarantee, limit, overQuotaPolicy, cohort, budgets, budgetsCohortVersion, newVersion);
    }

    /** Returns the budget of a controller process, or zero. */
    public ResourceAmount budget(String owner) {
        return budgets.getOrDefault(owner, ResourceAmount.ZERO);
    }
}
