package org.weldcourse.quota.enforcement;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.weldcourse.quota.QuotaInvariant;
import org.weldcourse.quota.ResourceAmount;

/** Divides a team's available quota among the controllers that accept its jobs. Implementations are pure functions. */
public interface BudgetDivision {
    /**
     * A request by a controller process for a number of reservations of the same size.
     *
     * @param owner the process
     * @param amount the size of one reservation
     * @param maxReservations the maximum number of reservations to grant
     */
    record Request(String owner, ResourceAmount amount, int maxReservations) {}

    /** Returns the number of reservations granted to each owner. Together they fit into the available amount. */
    Map<String, Integer> divide(ResourceAmount available, List<Request> requests);

    /** Grants one reservation to each request in turn, while the available amount lasts. */
    static Map<String, Integer> roundRobin(ResourceAmount available, List<Request> requests) {
        Map<String, Integer> granted = new TreeMap<>();
        ResourceAmount taken = ResourceAmount.ZERO;
        boolean progress = true;
        while (progress) {
            progress = false;
            for (Request request : requests) {
                int current = granted.getOrDefault(request.owner(), 0);
                if (current < request.maxReservations() && QuotaInvariant.mayAdd(available, taken, request.amount())) {
                    taken = taken.plus(request.amount());
                    granted.put(request.owner(), current + 1);
                    progress = true;
                }
            }
        }
        return granted;
    }
}
