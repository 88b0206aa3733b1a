package org.weldcourse.quota.enforcement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;
import org.weldcourse.quota.ResourceAmount;

/**
 * Solves the division as an integer program: it serves as many controllers as possible, then grants as many
 * reservations as possible. Round robin may instead spend the available amount on one large reservation where several
 * smaller ones would have fit.
 *
 * <p>Falls back to round robin if the solver finds no optimum within its time limit.
 */
public final class IntegerProgramDivision implements BudgetDivision {
    private static final long SOLVER_TIMEOUT_MILLIS = 50;
    /** The first reservation of a controller outweighs any number of additional reservations of other controllers. */
    private static final double FIRST_RESERVATION_WEIGHT = 1_000;

    @Override
    public Map<String, Integer> divide(ResourceAmount available, List<Request> requests) {
        if (requests.isEmpty()) {
            return Map.of();
        }
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        model.options.time_abort = SOLVER_TIMEOUT_MILLIS;
        model.options.time_suffice = SOLVER_TIMEOUT_MILLIS;
        ResourceAmount bound = capAtDemand(available, requests);
        Expression cpus = model.newExpression("cpus").upper(bound.cpus());
        Expression gpus = model.newExpression("gpus").upper(bound.gpus());
        List<Variable> firstReservations = new ArrayList<>();
        List<Variable> additionalReservations = new ArrayList<>();
        for (Request request : requests) {
            firstReservations.add(integerVariable(model, "first " + request.owner(), 1, FIRST_RESERVATION_WEIGHT));
            additionalReservations.add(integerVariable(
                    model, "further " + request.owner(), Math.max(0, request.maxReservations() - 1), 1));
            int last = firstReservations.size() - 1;
            for (Variable variable : List.of(firstReservations.get(last), additionalReservations.get(last))) {
                cpus.set(variable, request.amount().cpus());
                gpus.set(variable, request.amount().gpus());
            }
        }
        Optimisation.Result result = model.maximise();
        Map<String, Integer> granted = new TreeMap<>();
        if (result.getState().isOptimal()) {
            for (int i = 0; i < requests.size(); i++) {
                long count = Math.round(result.doubleValue(model.indexOf(firstReservations.get(i))))
                        + Math.round(result.doubleValue(model.indexOf(additionalReservations.get(i))));
                granted.put(requests.get(i).owner(), (int) count);
            }
        }
        return isFeasible(available, requests, granted) ? granted : BudgetDivision.roundRobin(available, requests);
    }

    /**
     * Caps the available amount at the total demand. Bounds far above it would only reduce the precision of the solver.
     */
    private static ResourceAmount capAtDemand(ResourceAmount available, List<Request> requests) {
        ResourceAmount wanted = ResourceAmount.ZERO;
        for (Request request : requests) {
            wanted = wanted.plus(request.amount().times(request.maxReservations()));
        }
        return available.min(wanted);
    }

    private static Variable integerVariable(ExpressionsBasedModel model, String name, int upperBound, double weight) {
        return model.newVariable(name).lower(0).upper(upperBound).weight(weight).integer();
    }

    /** Checks the solution in integers, because the solver uses floating point. */
    private static boolean isFeasible(ResourceAmount available, List<Request> requests, Map<String, Integer> granted) {
        ResourceAmount taken = ResourceAmount.ZERO;
        for (Request request : requests) {
            int count = granted.getOrDefault(request.owner(), 0);
            if (count < 0 || count > request.maxReservations()) {
                return false;
            }
            taken = taken.plus(request.amount().times(count));
        }
        return !granted.isEmpty() && taken.fitsInto(available);
    }
}
