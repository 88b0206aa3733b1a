package org.weldcourse.quota.enforcement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.weldcourse.quota.ResourceAmount;

/** Decides when the budgets of a team change, and to what. A pure function of the leader's state. */
public final class BudgetPlanner {
    /** Budgets may use at most half of a team's quota headroom; the leader admits from the rest. */
    private static final int HEADROOM_DIVISOR = 2;
    /** A budget covers a quarter of the jobs in the two demand windows, which is about five seconds of demand. */
    private static final int DEMAND_DIVISOR = 4;

    /** The maximum number of reservations that the budget of one controller process covers. */
    private static final int MAX_RESERVATIONS = 64;

    private final BudgetDivision division;

    /** Creates a planner that divides the available quota with this strategy. */
    public BudgetPlanner(BudgetDivision division) {
        this.division = division;
    }

    /**
     * The quota state of one team, as known to the leader.
     *
     * @param headroom the quota that the limits leave, counting the team's own budgets as free
     * @param hasWaitingJobs whether a job waits for the limit
     * @param unspent the unspent budgets by controller process
     * @param demand the recent demand by controller process
     */
    record TeamState(
            ResourceAmount headroom,
            boolean hasWaitingJobs,
            Map<String, ResourceAmount> unspent,
            Map<String, RecentDemand.Count> demand) {
        boolean lacksBudget(BudgetDivision.Request request) {
            return !request.amount().fitsInto(unspent.getOrDefault(request.owner(), ResourceAmount.ZERO));
        }
    }

    /** Returns the team's new budgets by owner, or empty if they stay unchanged. */
    Optional<Map<String, ResourceAmount>> plan(
            String team,
            ResourceAmount headroom,
            boolean hasWaitingJobs,
            ReservationTracker reservations,
            long nowMicros) {
        return plan(new TeamState(
                headroom, hasWaitingJobs, reservations.unspentBudgets(team), reservations.demand(team, nowMicros)));
    }

    /**
     * Returns the team's new budgets, or empty if they stay unchanged. Unused budget moves from one controller to
     * another in two steps, because the first controller may still reserve from it until the write that withdraws it
     * succeeds.
     */
    Optional<Map<String, ResourceAmount>> plan(TeamState state) {
        ResourceAmount totalUnspent = ResourceAmount.sum(state.unspent.values());
        if (state.hasWaitingJobs) {
            // A waiting job has precedence over quota that is held for jobs still to come.
            return totalUnspent.isZero() ? Optional.empty() : Optional.of(Map.of());
        }
        List<BudgetDivision.Request> requests = requests(state.demand);
        List<BudgetDivision.Request> unserved =
                requests.stream().filter(state::lacksBudget).toList();
        if (unserved.isEmpty()) {
            return Optional.empty();
        }
        ResourceAmount maxBudget = state.headroom().dividedBy(HEADROOM_DIVISOR);
        Map<String, Integer> granted =
                division.divide(maxBudget.min(state.headroom().minus(totalUnspent)), requests);
        if (servesAny(unserved, granted)) {
            return Optional.of(amounts(requests, granted));
        }
        boolean withdrawalHelps = !totalUnspent.isZero() && servesAny(unserved, division.divide(maxBudget, requests));
        return withdrawalHelps ? Optional.of(Map.of()) : Optional.empty();
    }

    private static boolean servesAny(List<BudgetDivision.Request> unserved, Map<String, Integer> granted) {
        return unserved.stream().anyMatch(request -> granted.getOrDefault(request.owner(), 0) > 0);
    }

    private static List<BudgetDivision.Request> requests(Map<String, RecentDemand.Count> demand) {
        List<BudgetDivision.Request> requests = new ArrayList<>();
        demand.forEach((owner, count) -> {
            int maxReservations = Math.min(MAX_RESERVATIONS, Math.max(1, count.jobs() / DEMAND_DIVISOR));
            requests.add(new BudgetDivision.Request(owner, count.largest(), maxReservations));
        });
        return requests;
    }

    private static Map<String, ResourceAmount> amounts(
            List<BudgetDivision.Request> requests, Map<String, Integer> granted) {
        Map<String, ResourceAmount> budgets = new TreeMap<>();
        for (BudgetDivision.Request request : requests) {
            int count = granted.getOrDefault(request.owner(), 0);
            if (count > 0) {
                budgets.put(request.owner(), request.amount().times(count));
            }
        }
        return budgets;
    }
}
