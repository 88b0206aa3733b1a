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
import org.weldcourse.placement.WaitReason;

/**
 * Plans which machines to launch for pending work, as a pure function. Array tasks use running and booting machines
 * that can finish them in time; gangs and services use booting ones. New machines are launched for the rest.
 */
public final class ScaleOutPlanner {
    /** Minimum share of a new machine's capacity that must be used to justify launching it. */
    private static final double MIN_NEW_MACHINE_UTILIZATION = 0.35;

    private final LaunchCandidates candidates;
    private final int maxMachines;
    private final List<HostSupply> supplies = new ArrayList<>();
    private final List<Offering> launches = new ArrayList<>();
    /** For each job class, work that did not justify a new machine on its own, in CPU-microseconds. */
    private final Map<String, Double> deferredWork = new HashMap<>();

    private final Map<String, WaitReason> reasons = new HashMap<>();

    private ScaleOutPlanner(List<HostCapacity> hosts, LaunchCandidates candidates, int maxMachines) {
        this.candidates = candidates;
        this.maxMachines = maxMachines;
        hosts.forEach(host -> supplies.add(new HostSupply(host)));
    }

    /**
     * Plans the launches for the demand, in the given order.
     *
     * @param hosts the running and booting machines
     * @param unavailable the offerings that currently have no capacity
     * @param maxMachines the maximum number of machines to launch
     */
    public static ScaleOutPlan plan(
            List<CapacityDemand> demand,
            List<HostCapacity> hosts,
            List<MachineType> types,
            Set<Offering> unavailable,
            int maxMachines,
            long nowMicros) {
        ScaleOutPlanner planner =
                new ScaleOutPlanner(hosts, new LaunchCandidates(types, unavailable, nowMicros), maxMachines);
        for (CapacityDemand each : demand) {
            boolean needsSlots = each.job().isGang() || each.job().isService();
            WaitReason reason = needsSlots ? planner.planSlots(each) : planner.planWork(each);
            planner.reasons.put(each.job().id(), reason);
        }
        return new ScaleOutPlan(planner.requests(), planner.reasons);
    }

    private List<ScaleOutRequest> requests() {
        Map<Offering, Integer> counts = new LinkedHashMap<>();
        launches.forEach(offering -> counts.merge(offering, 1, Integer::sum));
        List<ScaleOutRequest> requests = new ArrayList<>();
        counts.forEach((offering, count) -> requests.add(new ScaleOutRequest(offering, count)));
        return requests;
    }

    /**
     * Plans slots for a gang or for service replicas. A single-zone gang gets them in the zone where the missing slots
     * cost the least. Free slots on running machines count only for the choice of the zone: other jobs may take them
     * before the new machines have booted. Surplus machines are soon used by array tasks, at no higher cost.
     */
    private WaitReason planSlots(CapacityDemand demand) {
        if (!demand.job().singleZone()) {
            return launchForSlots(demand, zone -> true);
        }
        String best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (String zone : candidates.zones()) {
            double cost = costOfMissingSlots(demand, zone);
            if (cost < bestCost) {
                best = zone;
                bestCost = cost;
            }
        }
        if (best == null) {
            return WaitReason.NO_OFFERING;
        }
        if (bestCost > 0) {
            return launchForSlots(demand, best::equals);
        }
        // The booting machines suffice; their slots are assigned so that the next gang does not count on them too.
        int wanted = demand.tasks() - demand.freeSlotsIn(best);
        assignSlots(demand, best::equals, wanted, new HashMap<>());
        return wanted > 0 ? WaitReason.BOOTING_MACHINES : WaitReason.RUNNING_MACHINES;
    }

    /**
     * Returns the cost of the slots that a gang lacks in a zone: 0 if none are missing, infinity if no offering
     * provides them.
     */
    private double costOfMissingSlots(CapacityDemand demand, String zone) {
        int missing = demand.tasks() - demand.freeSlotsIn(zone);
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

    private WaitReason launchForSlots(CapacityDemand demand, Predicate<String> inZone) {
        Map<String, Integer> plannedByZone = new HashMap<>();
        int remaining = assignSlots(demand, inZone, demand.tasks(), plannedByZone);
        WaitReason reason = WaitReason.BOOTING_MACHINES;
        while (remaining > 0 && launches.size() < maxMachines) {
            // Without the zone limit check, this loop would keep launching machines that the job can't use.
            Optional<Candidate> cheapest = candidates.cheapest(demand, candidate -> {
                String zone = candidate.offering().zone();
                return inZone.test(zone) && demand.remainingInZone(zone, plannedByZone) > 0;
            });
            if (cheapest.isEmpty()) {
                return WaitReason.NO_OFFERING;
            }
            remaining -= launch(cheapest.get()).assignSlots(demand, remaining, plannedByZone);
            reason = WaitReason.LAUNCH;
        }
        return reason;
    }

    /** Assigns slots on booting machines and returns how many are still missing. */
    private int assignSlots(
            CapacityDemand demand, Predicate<String> inZone, int wanted, Map<String, Integer> plannedByZone) {
        int remaining = wanted;
        for (HostSupply supply : supplies) {
            if (inZone.test(supply.zone())) {
                remaining -= supply.assignSlots(demand, remaining, plannedByZone);
            }
        }
        return remaining;
    }

    /**
     * Assigns an array's work to machines that can finish it in time, and plans new machines for the rest. Overdue work
     * gets a machine that is still to come in any case.
     */
    private WaitReason planWork(CapacityDemand demand) {
        long deadlineMicros = Math.max(demand.deadlineMicros(), candidates.earliestFinishMicros(demand));
        double onBootingHosts =
                demand.isOverdue() ? assignWork(demand, demand.work(), deadlineMicros, HostSupply::isBooting) : 0;
        double remaining = demand.work() - onBootingHosts;
        remaining -= assignWork(demand, remaining, deadlineMicros, supply -> true);
        Double deferred = deferredWork.remove(demand.job().jobClass());
        remaining += deferred == null ? 0 : deferred;
        boolean needsMachineOfItsOwn = demand.isOverdue() && onBootingHosts == 0;
        if (remaining > 0 || needsMachineOfItsOwn) {
            return launchForWork(demand, remaining, deadlineMicros);
        }
        return onBootingHosts > 0 ? WaitReason.BOOTING_MACHINES : WaitReason.RUNNING_MACHINES;
    }

    private double assignWork(
            CapacityDemand demand, double wanted, long deadlineMicros, Predicate<HostSupply> condition) {
        double assigned = 0;
        for (HostSupply supply : supplies) {
            if (condition.test(supply)) {
                assigned += supply.assignWork(demand, wanted - assigned, deadlineMicros);
            }
        }
        return assigned;
    }

    /** Launches machines for an array's work, at least one unless the launch is deferred. */
    private WaitReason launchForWork(CapacityDemand demand, double work, long deadlineMicros) {
        double remaining = work;
        WaitReason reason = WaitReason.NOT_PLANNED;
        while (launches.size() < maxMachines && (remaining > 0 || reason != WaitReason.LAUNCH)) {
            Optional<Candidate> cheapest = candidates.cheapest(demand, deadlineMicros);
            double machineWork = cheapest.map(
                            candidate -> candidates.supply(candidate).availableWork(demand, deadlineMicros))
                    .orElse(0.0);
            if (machineWork <= 0) {
                return WaitReason.NO_OFFERING;
            }
            if (remaining < MIN_NEW_MACHINE_UTILIZATION * machineWork && mayBeDeferred(demand)) {
                deferredWork.put(demand.job().jobClass(), remaining);
                return WaitReason.LAUNCH_DEFERRED;
            }
            remaining -= launch(cheapest.get()).assignWork(demand, remaining, deadlineMicros);
            reason = WaitReason.LAUNCH;
        }
        return reason;
    }

    /** Small work may wait for a host that is there anyway, but neither for good nor for one that it may not use. */
    private boolean mayBeDeferred(CapacityDemand demand) {
        return !demand.isOverdue() && supplies.stream().anyMatch(supply -> supply.allows(demand));
    }

    private HostSupply launch(Candidate candidate) {
        HostSupply supply = candidates.supply(candidate);
        supplies.add(supply);
        launches.add(candidate.offering());
        return supply;
    }
}
