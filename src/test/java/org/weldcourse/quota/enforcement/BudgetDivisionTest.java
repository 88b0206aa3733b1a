package org.weldcourse.quota.enforcement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.weldcourse.quota.QuotaInvariant;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.enforcement.BudgetDivision.Request;

/** Tests of {@link BudgetDivision}, by round robin and by integer program, and of the resource arithmetic. */
class BudgetDivisionTest {
    private final BudgetDivision solver = new IntegerProgramDivision();

    private static Request request(String owner, double cpus, double gpus, int maxReservations) {
        return new Request(owner, ResourceAmount.of(cpus, gpus), maxReservations);
    }

    @Test
    void everyOwnerIsServedOnceBeforeAnyIsServedTwice() {
        List<Request> requests = List.of(request("n0", 1, 0, 50), request("n1", 4, 0, 1), request("n2", 1, 1, 2));
        for (BudgetDivision division : List.of(solver, (BudgetDivision) BudgetDivision::roundRobin)) {
            Map<String, Integer> granted = division.divide(ResourceAmount.of(8, 1), requests);
            assertEquals(Map.of("n0", 3, "n1", 1, "n2", 1), granted);
        }
    }

    @Test
    void solverServesTwoOwnersWhereRoundRobinServesOne() {
        List<Request> requests = List.of(request("n0", 5, 0, 1), request("n1", 3, 0, 1), request("n2", 3, 0, 1));
        assertEquals(Map.of("n0", 1), BudgetDivision.roundRobin(ResourceAmount.of(6, 0), requests));
        Map<String, Integer> granted = solver.divide(ResourceAmount.of(6, 0), requests);
        assertEquals(2, granted.values().stream().mapToInt(Integer::intValue).sum());
    }

    @Test
    void noDivisionExceedsTheAvailableQuotaOrTheDemand() {
        Random random = new Random(5);
        for (int round = 0; round < 100; round++) {
            List<Request> requests = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(7); i++) {
                requests.add(request("n" + i, 0.1 + random.nextInt(80) / 10.0, random.nextInt(3), random.nextInt(9)));
            }
            ResourceAmount available = ResourceAmount.of(random.nextInt(40), random.nextInt(8));
            for (BudgetDivision division : List.of(solver, (BudgetDivision) BudgetDivision::roundRobin)) {
                Map<String, Integer> granted = division.divide(available, requests);
                ResourceAmount taken = ResourceAmount.ZERO;
                for (Request request : requests) {
                    int count = granted.getOrDefault(request.owner(), 0);
                    assertTrue(count >= 0 && count <= request.maxReservations());
                    taken = taken.plus(request.amount().times(count));
                }
                assertTrue(taken.fitsInto(available), taken + " of " + available);
            }
        }
    }

    @Test
    void roundingErrorsDoNotExceedTheLimit() {
        ResourceAmount limit = ResourceAmount.limit(2, 0);
        assertTrue(!QuotaInvariant.isExceeded(
                limit, ResourceAmount.of(0.6666666667, 0).times(3)));
        assertTrue(QuotaInvariant.isExceeded(limit, ResourceAmount.of(2.1, 0)));
        assertTrue(!QuotaInvariant.isExceeded(ResourceAmount.limit(0, 0), ResourceAmount.of(1e6, 1e3)));
    }

    @Test
    void amountsSaturateInsteadOfOverflowing() {
        ResourceAmount huge = ResourceAmount.of(1e300, 0).times(100_000).plus(ResourceAmount.of(1e300, 0));
        assertTrue(huge.cpuMillionths() > 0);
        assertTrue(!huge.fitsInto(ResourceAmount.of(1e9, 0)));
    }
}
