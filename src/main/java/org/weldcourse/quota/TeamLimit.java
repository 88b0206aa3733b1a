package org.weldcourse.quota;

import java.util.Map;

/**
 * A team's record in the ledger: guarantee and limit, what happens above the limit, and the budgets out of which
 * controllers may reserve at submission. {@code version} is the record's version in the state service, 0 before it
 * is written.
 */
public record TeamLimit(
        String team, Amount guarantee, Amount limit, OverLimit overLimit, Map<String, Amount> budgets, long version) {

    /** The same record with other budgets. */
    public TeamLimit withBudgets(Map<String, Amount> newBudgets) {
        return new TeamLimit(team, guarantee, limit, overLimit, newBudgets, version);
    }

    /** The budget of a controller process, or nothing. */
    public Amount budget(String owner) {
        return budgets.getOrDefault(owner, Amount.ZERO);
    }

    /** Whether guarantee, limit and policy are the same, whatever the budgets are. */
    public boolean hasSameTerms(TeamLimit other) {
        return guarantee.equals(other.guarantee) && limit.equals(other.limit) && overLimit == other.overLimit;
    }
}
