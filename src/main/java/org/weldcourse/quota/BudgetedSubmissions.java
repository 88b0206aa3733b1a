package org.weldcourse.quota;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.settings.Settings;

/**
 * Reservations out of the budgets that the ledger grants to this process. A budget belongs to one version of the team's
 * record: what was spent of it is never returned, since the next version brings a new budget. A reservation is written on
 * that version, so that it is refused once the budget was taken back, however late the write is carried out.
 */
public final class BudgetedSubmissions implements SubmissionQuota {
    private final LimitLedger ledger;
    private final String owner;
    private final Map<String, Spent> spentByTeam = new HashMap<>();

    private record Spent(long version, Amount amount) {}

    /** {@code owner} names this process: another life under the same name does not know what this one spent. */
    public BudgetedSubmissions(LimitLedger ledger, String owner) {
        this.ledger = ledger;
        this.owner = owner;
    }

    @Override
    public Amount limit(Settings.Team team) {
        LimitInForce limit = ledger.limit(team.name());
        if (limit == null) {
            return LimitLedger.seed(team).limit();
        }
        Amount own = limit.team().limit();
        return limit.cohort() == null ? own : own.least(limit.cohort().limit());
    }

    @Override
    public void refresh(String team, Runnable then) {
        ledger.refresh(team, isRead -> then.run());
    }

    @Override
    public Grant reserve(String team, Amount perTask, int tasks) {
        LimitInForce limit = ledger.limit(team);
        if (limit == null || !limit.budgets().containsKey(owner)) {
            return Grant.none(owner);
        }
        long version = limit.team().version();
        Spent spent = spentByTeam.getOrDefault(team, new Spent(0, Amount.ZERO));
        if (version < spent.version()) {
            return Grant.none(owner);
        }
        Amount before = version == spent.version() ? spent.amount() : Amount.ZERO;
        Amount wanted = perTask.times(tasks);
        if (!QuotaRule.mayAdd(limit.budget(owner), before, wanted)) {
            return Grant.none(owner);
        }
        spentByTeam.put(team, new Spent(version, before.plus(wanted)));
        return new Grant(new Reservation(owner, version, tasks), limit.guards());
    }

    @Override
    public void giveBack(String team, Amount perTask, Reservation reservation) {
        Spent spent = spentByTeam.get(team);
        if (spent != null && spent.version() == reservation.limitVersion()) {
            Amount returned = perTask.times(reservation.tasks());
            spentByTeam.put(team, new Spent(spent.version(), spent.amount().minus(returned)));
        }
    }
}
