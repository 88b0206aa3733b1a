package org.weldcourse.quota.ledger;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.quota.QuotaInvariant;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;

/**
 * Reservations out of the budgets that the ledger grants to this process. A budget belongs to one version of the team's
 * record: what was spent of it is never returned, since the next version brings a new budget. A reservation is written on
 * that version, so that it is refused once the budget was taken back, however late the write is carried out.
 */
public final class BudgetedSubmissionQuota implements SubmissionQuota {
    private final QuotaLedger ledger;
    private final String owner;
    private final Map<String, Spent> spentByTeam = new HashMap<>();

    private record Spent(long version, ResourceAmount amount) {}

    /** {@code owner} names this process: another life under the same name does not know what this one spent. */
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
        ResourceAmount own = quota.team().limit();
        return quota.cohort() == null ? own : own.least(quota.cohort().limit());
    }

    @Override
    public void refresh(String team, Runnable then) {
        ledger.refresh(team, isRead -> then.run());
    }

    @Override
    public Grant reserve(String team, ResourceAmount perTask, int tasks) {
        EffectiveQuota quota = ledger.quota(team);
        if (quota == null || !quota.budgets().containsKey(owner)) {
            return Grant.none(owner);
        }
        long version = quota.team().version();
        Spent spent = spentByTeam.getOrDefault(team, new Spent(0, ResourceAmount.ZERO));
        if (version < spent.version()) {
            return Grant.none(owner);
        }
        ResourceAmount before = version == spent.version() ? spent.amount() : ResourceAmount.ZERO;
        ResourceAmount wanted = perTask.times(tasks);
        if (!QuotaInvariant.mayAdd(quota.budget(owner), before, wanted)) {
            return Grant.none(owner);
        }
        spentByTeam.put(team, new Spent(version, before.plus(wanted)));
        return new Grant(new Reservation(owner, version, tasks), quota.guards());
    }

    @Override
    public void release(String team, ResourceAmount perTask, Reservation reservation) {
        Spent spent = spentByTeam.get(team);
        if (spent != null && spent.version() == reservation.quotaVersion()) {
            ResourceAmount returned = perTask.times(reservation.tasks());
            spentByTeam.put(team, new Spent(spent.version(), spent.amount().minus(returned)));
        }
    }
}
