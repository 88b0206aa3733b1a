package org.weldcourse.quota;

import java.util.Map;

/**
 * A team's record in the ledger: guarantee and limit, what happens above the limit, the cohort it borrows in (or null), and
 * the budgets out of which controllers may reserve at submission. Budgets were granted under one version of the cohort's
 * record. {@code version} is this record's version in the state service, 0 before it is written.
 */
public record TeamLimit(
        String team,
        Amount guarantee,
        Amount limit,
        OverLimit overLimit,
        String cohort,
        Map<String, Amount> budgets,
        long budgetsCohortVersion,
        long version) {

    /** A record without budgets. */
    public TeamLimit(String team, Amount guarantee, Amount limit, OverLimit overLimit, String cohort, long version) {
        this(team, guarantee, limit, overLimit, cohort, Map.of(), 0, version);
    }

    /** The same record with budgets that are granted under this version of the cohort's. */
    public TeamLimit withBudgets(Map<String, Amount> newBudgets, long cohortVersion) {
        return new TeamLimit(team, guarantee, limit, overLimit, cohort, newBudgets, cohortVersion, version);
    }

    /** The same record as it stands under another version. */
    public TeamLimit withVersion(long newVersion) {
        return new TeamLimit(team, guarantee, limit, overLimit, cohort, budgets, budgetsCohortVersion, newVersion);
    }

    /** The budget of a controller process, or nothing. */
    public Amount budget(String owner) {
        return budgets.getOrDefault(owner, Amount.ZERO);
    }
}
