package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.weldcourse.fleet.LaunchCandidates.Candidate;

/**
 * Which machines to launch for pending work, as a pure function. The tasks of arrays share the machines that are up or
 * on their way as far as those can do the work in time; what they can't, and gangs, get new ones.
 */
public final class ScaleOutPlanner {
    /** A shortfall below this part of a new machine's work is not worth a machine. */
    private static final double MIN_NEW_MACHINE_UTILIZATION = 0.35;

    private final LaunchCandidates candidates;
    private final int maxMachines;
    private final List<HostSupply> supplies = new ArrayList<>();
    private final List<Offering> launches = new ArrayList<>();
    /** By class, the work of jobs so far that was too little for a machine of its own, in CPU-microseconds. */
    private final Map<String, Double> deferredWork = new HashMap<>();

    private ScaleOutPlanner(List<HostCapacity> hosts, LaunchCandidates candidates, int maxMachines) {
        this.candidates = candidates;
        this.maxMachines = maxMachines;
        hosts.forEach(host -> supplies.add(new HostSupply(host)));
    }

    /**
     * Plans what to launch for the demand, in its order.
     *
     * @param hosts the machines that are up or on their way
     * @param unavailable offerings that the cloud has no capacity of at the moment
     * @param maxMachines the most machines to launch
     */
    public static List<ScaleOutRequest> plan(
            List<CapacityDemand> demand,
            List<HostCapacity> hosts,
            List<MachineType> types,
            Set<Offering> unavailable,
            int maxMachines,
            long nowMicros) {
        ScaleOutPlanner planner =
                new ScaleOutPlanner(hosts, new LaunchCandidates(types, unavailable, nowMicros), maxMachines);
        for (CapacityDemand each : demand) {
            if (each.job().isGang() || each.job().isService()) {
                planner.planSlots(each);
            } else {
                planner.planWork(each);
            }
        }
        return planner.requests();
    }

    private List<ScaleOutRequest> requests() {
        Map<Offering, Integer> counts = new LinkedHashMap<>();
        launches.forEach(offering -> counts.merge(offering, 1, Integer::sum));
        List<ScaleOutRequest> requests = new ArrayList<>();
        counts.forEach((offering, count) -> requests.add(new ScaleOutRequest(offering, count)));
        return requests;
    }

    /**
     * New places for a gang that found too few, or for replicas. A gang that must be in one zone gets them where the
     * fewest are missing. Those that are free count for that choice only: others may take them before the rest is up,
     * and what is launched too much is soon put to use by arrays, as machines that gangs fit on cost them no more.
     */
    private void planSlots(CapacityDemand demand) {
        if (!demand.job().singleZone()) {
            launchForSlots(demand, zone -> true);
            return;
        }
        String best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (String zone : candidates.zones()) {
            if (demand.job().allowsZone(zone)) {
                double cost = costOfMissingSlots(demand, zone);
                if (cost < bestCost) {
                    best = zone;
                    bestCost = cost;
                }
            }
        }
        if (best == null) {
            return;
        }
        if (bestCost > 0) {
            launchForSlots(demand, best::equals);
        } else {
            // What is on its way suffices, but it is spoken for now: the next gang must not count on it too.
            int wanted = demand.tasks() - demand.freeSlotsByZone().getOrDefault(best, 0);
            assignSlots(demand, best::equals, wanted, new HashMap<>(demand.tasksByZone()));
        }
    }

    /**
     * What the places of a gang cost that this zone is short of: 0 when none is missing, infinity when none can be
     * had.
     */
    private double costOfMissingSlots(CapacityDemand demand, String zone) {
        int missing = demand.tasks() - demand.freeSlotsByZone().getOrDefault(zone, 0);
        for (HostSupply supply : supplies) {
            if (zone.equals(supply.zone())) {
                missing -= supply.availableSlots(demand);
            }
        }
        if (missing <= 0) {
            return 0;
        }
        Optional<Candidate> cheapest = candidates.cheapest(
                demand, candidate -> zone.equals(candidate.offering().zone()));
        return cheapest.isEmpty()
                ? Double.POSITIVE_INFINITY
                : missing * cheapest.get().cost();
    }

    private void launchForSlots(CapacityDemand demand, Predicate<String> inZone) {
        Map<String, Integer> tasksByZone = new HashMap<>(demand.tasksByZone());
        int left = assignSlots(demand, inZone, demand.tasks(), tasksByZone);
        while (left > 0 && launches.size() < maxMachines) {
            // A zone that may hold no more of a spread job would be launched in for ever.
            Optional<Candidate> cheapest = candidates.cheapest(demand, candidate -> {
                String zone = candidate.offering().zone();
                return inZone.test(zone) && demand.remainingInZone(zone, tasksByZone) > 0;
            });
            if (cheapest.isEmpty()) {
                return;
            }
            left -= launch(cheapest.get()).assignSlots(demand, left, tasksByZone);
        }
    }

    /** Takes places on machines that are on their way, and returns how many are still missing. */
    private int assignSlots(
            CapacityDemand demand, Predicate<String> inZone, int wanted, Map<String, Integer> tasksByZone) {
        int left = wanted;
        for (HostSupply supply : supplies) {
            if (inZone.test(supply.zone())) {
                left -= supply.assignSlots(demand, left, tasksByZone);
            }
        }
        return left;
    }

    /** The work of an array's tasks goes to machines that can do it in time, and the rest to new ones. */
    private void planWork(CapacityDemand demand) {
        String jobClass = demand.job().jobClass();
        double left =
                (double) demand.tasks() * demand.runMicros() * demand.job().cpus();
        long deadlineMicros = Math.max(demand.deadlineMicros(), candidates.earliestFinishMicros(demand));
        for (HostSupply supply : supplies) {
            left -= supply.assignWork(demand, left, deadlineMicros);
        }
        Double carried = deferredWork.remove(jobClass);
        left += carried == null ? 0 : carried;
        while (left > 0 && launches.size() < maxMachines) {
            Optional<Candidate> cheapest = candidates.cheapest(demand, deadlineMicros);
            if (cheapest.isEmpty()) {
                return;
            }
            double work = candidates.supply(cheapest.get()).availableWork(demand, deadlineMicros);
            if (work <= 0) {
                return;
            }
            if (left < MIN_NEW_MACHINE_UTILIZATION * work && !supplies.isEmpty()) {
                deferredWork.put(jobClass, left);
                return;
            }
            left -= launch(cheapest.get()).assignWork(demand, left, deadlineMicros);
        }
    }

    private HostSupply launch(Candidate candidate) {
        HostSupply supply = candidates.supply(candidate);
        supplies.add(supply);
        launches.add(candidate.offering());
        return supply;
    }
}
