package org.weldcourse.quota.enforcement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.EffectiveQuota;
import org.weldcourse.quota.ledger.QuotaLedger;
import org.weldcourse.quota.ledger.QuotaRecordCodec;
import org.weldcourse.quota.ledger.TeamQuota;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store.Outcome;

/** Grants controllers' budgets in the ledger and withdraws them as demand changes. */
final class BudgetAllocator {
    /** The minimum time between two budget changes of one team. */
    private static final long DIVISION_INTERVAL_MICROS = 1_000_000;

    private static final long RETRY_DELAY_MICROS = 300_000;

    private final QuotaLedger ledger;
    private final ReservationTracker reservations;
    private final BudgetPlanner planner;
    private final RecordWriter recordWriter;
    private final Timers timers;
    private final Runnable onBudgetsWritten;
    /** Teams whose demand or quota changed since the last division of their budgets. */
    private final Set<String> teamsToDivide = new HashSet<>();

    private final Set<String> teamsBeingWritten = new HashSet<>();
    private final Map<String, Long> lastDivisionMicros = new HashMap<>();

    /**
     * Creates an allocator for one leader term.
     *
     * @param onBudgetsWritten runs when the result of a budget write is known, whether or not the write succeeded
     */
    BudgetAllocator(
            QuotaLedger ledger,
            ReservationTracker reservations,
            BudgetPlanner planner,
            RecordWriter recordWriter,
            Timers timers,
            Runnable onBudgetsWritten) {
        this.timers = timers;
        this.ledger = ledger;
        this.reservations = reservations;
        this.planner = planner;
        this.recordWriter = recordWriter;
        this.onBudgetsWritten = onBudgetsWritten;
    }

    /** Marks the team so that the next division recomputes its budgets. */
    void markForDivision(String team) {
        teamsToDivide.add(team);
    }

    /**
     * Updates the budgets of teams whose demand has changed. A snapshot is taken only if any team has to be considered.
     *
     * @param waitingTeams teams with jobs that wait for a limit
     */
    void divide(Set<String> waitingTeams, Supplier<QuotaSnapshot> snapshots, long nowMicros) {
        teamsToDivide.addAll(waitingTeams);
        if (teamsToDivide.isEmpty()) {
            return;
        }
        QuotaSnapshot snapshot = snapshots.get();
        for (String team : List.copyOf(teamsToDivide)) {
            boolean due = nowMicros - lastDivisionMicros.getOrDefault(team, -DIVISION_INTERVAL_MICROS)
                    >= DIVISION_INTERVAL_MICROS;
            if (due && !teamsBeingWritten.contains(team) && snapshot.isUsageKnown(team)) {
                teamsToDivide.remove(team);
                if (!ledger.quota(team).isUnlimited()) {
                    boolean hasWaitingJobs = waitingTeams.contains(team) || !snapshot.allReservationsFit(team);
                    divide(team, hasWaitingJobs, snapshot.freeExcludingBudgets(team), nowMicros);
                }
            }
        }
    }

    private void divide(String team, boolean hasWaitingJobs, ResourceAmount headroom, long nowMicros) {
        planner.plan(team, headroom, hasWaitingJobs, reservations, nowMicros).ifPresent(budgets -> {
            lastDivisionMicros.put(team, nowMicros);
            write(ledger.quota(team), budgets);
        });
    }

    private void write(EffectiveQuota quota, Map<String, ResourceAmount> budgets) {
        String team = quota.team().name();
        String key = QuotaRecordCodec.teamKey(team);
        long cohortVersion = quota.cohort() == null ? 0 : quota.cohort().version();
        TeamQuota next = quota.team().withBudgets(budgets, cohortVersion);
        reservations.setPendingBudgets(team, budgets);
        teamsBeingWritten.add(team);
        boolean sent = recordWriter.writeInBackground(
                txn -> {
                    quota.guards().forEach(txn::ifModRevision);
                    txn.put(key, QuotaRecordCodec.encode(next));
                },
                (commit, afterTimeout) -> onWriteResult(next, commit.outcome(), commit.revision()));
        if (!sent) {
            finishWrite(team);
        }
    }

    private void onWriteResult(TeamQuota quota, Outcome outcome, long version) {
        if (outcome == Outcome.OK) {
            ledger.recordWritten(quota.withVersion(version));
            finishWrite(quota.name());
            onBudgetsWritten.run();
        } else {
            resolveFromLedger(quota.name());
        }
    }

    /**
     * Handles a write that was refused or whose earlier attempt may have succeeded: the stored record shows the
     * outcome. Until the record has been read, the budgets of the write count as granted, because admissions of other
     * teams in the cohort are not conditional on this team's record.
     */
    private void resolveFromLedger(String team) {
        ledger.refresh(team, isRead -> {
            if (isRead) {
                finishWrite(team);
                onBudgetsWritten.run();
            } else {
                timers.after(RETRY_DELAY_MICROS, () -> resolveFromLedger(team));
            }
        });
    }

    private void finishWrite(String team) {
        teamsBeingWritten.remove(team);
        reservations.setPendingBudgets(team, Map.of());
        teamsToDivide.add(team);
    }
}
