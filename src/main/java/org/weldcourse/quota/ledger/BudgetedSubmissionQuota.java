package org.weldcourse.quota.ledger;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.quota.QuotaInvariant;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;

/**
 * Makes reservations from the budgets that the ledger grants to this process. A budget belongs to one version of the
 * team's record. Spent budget is not returned when a job ends, because the next version grants a new budget.
 *
 * <p>A reservation is written on condition that the team's record still has that version. The store therefore refuses
 * the write if the budget has been withdrawn, however late the write arrives.
 */
public final class BudgetedSubmissionQuota implements SubmissionQuota {
    private final QuotaLedger ledger;
    private final String owner;
    private final Map<String, SpentBudget> spentByTeam = new HashMap<>();

    private record SpentBudget(long version, ResourceAmount amount) {}

    /**
     * Creates a reservation source for one process.
     *
     * @param ledger this controller's view of the quota records
     * @param owner identifies this process and not only its node: a restarted process must not reuse the budget of the
     *     previous one, because it does not know what was spent of it
     */
    public BudgetedSubmissionQuota(QuotaLedger ledger, String owner) {
        this.ledger = ledger;
        this.owner = owner;
    }

    @Override
    public ResourceAmount limit(Settings.Team team) {
        EffectiveQuota quota = ledger.quota(team.name());
        if (quota == null) {
            return TeamQuota.ofSettings(team).limit();
        }
        ResourceAmount teamLimit = quota.team().limit();
        return quota.cohort() == null ? teamLimit : teamLimit.min(quota.cohort().limit());
    }

    @Override
    public void refresh(String team, Runnable callback) {
        ledger.refresh(team, isRead -> callback.run());
    }

    @Override
    public Grant reserve(String team, ResourceAmount perTask, int tasks) {
        EffectiveQuota quota = ledger.quota(team);
        if (quota == null || !quota.budgets().containsKey(owner)) {
            return Grant.none(owner);
        }
        long version = quota.team().version();
        SpentBudget spent = spentByTeam.getOrDefault(team, new SpentBudget(0, ResourceAmount.ZERO));
        if (version < spent.version()) {
            return Grant.none(owner);
        }
        ResourceAmount spentBefore = version == spent.version() ? spent.amount() : ResourceAmount.ZERO;
        ResourceAmount wanted = perTask.times(tasks);
        if (!QuotaInvariant.mayAdd(quota.budget(owner), spentBefore, wanted)) {
            return Grant.none(owner);
        }
        spentByTeam.put(team, new SpentBudget(version, spentBefore.plus(wanted)));
        return new Grant(new Reservation(owner, version, tasks), quota.guards());
    }

    @Override
    public void release(String team, ResourceAmount perTask, Reservation reservation) {
        SpentBudget spent = spentByTeam.get(team);
        if (spent != null && spent.version() == reservation.quotaVersion()) {
            ResourceAmount returned = perTask.times(reservation.tasks());
            spentByTeam.put(
                    team, new SpentBudget(spent.version(), spent.amount().minus(returned)));
        }
    }
}
