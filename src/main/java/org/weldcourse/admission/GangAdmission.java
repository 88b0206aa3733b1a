package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Snapshot.JobView;

/** Admits gangs, all tasks or none, and reserves machines for gangs that have to wait. */
final class GangAdmission {
    private static final String ANY_ZONE = "";

    private final CycleBookings bookings;
    private final MachinePreemption preemption;
    private final GangReservations reservations;
    /** The number of tasks of the smallest gang that could not be placed in this cycle, by shape. */
    private final Map<GangShape, Integer> unplaceable = new HashMap<>();

    GangAdmission(CycleBookings bookings, MachinePreemption preemption, long nowMicros) {
        this.bookings = bookings;
        this.preemption = preemption;
        this.reservations = new GangReservations(bookings, preemption, nowMicros);
    }

    /** Admits the gang at the lowest cost, on free capacity if it suffices, and returns whether it was admitted. */
    boolean place(JobView job, TeamUsage usage, int tasks) {
        GangShape shape = new GangShape(job.spec());
        if (job.excludedMachines().isEmpty() && tasks >= unplaceable.getOrDefault(shape, Integer.MAX_VALUE)) {
            return false;
        }
        Collection<List<FreeCapacity>> domains = domains(job).values();
        for (boolean preempt : new boolean[] {false, true}) {
            GangPlacement best = cheapest(job, usage, tasks, domains, preempt);
            if (best != null) {
                for (MachinePreemption.PlacementOption option : best.options()) {
                    option.victims().forEach(victim -> bookings.preempt(job, option.capacity(), victim));
                }
                bookings.book(job, usage, best.tasksByMachine());
                return true;
            }
        }
        if (job.excludedMachines().isEmpty()) {
            unplaceable.merge(shape, tasks, Math::min);
        }
        return false;
    }

    private GangPlacement cheapest(
            JobView job, TeamUsage usage, int tasks, Collection<List<FreeCapacity>> domains, boolean preempt) {
        GangPlacement best = null;
        for (List<FreeCapacity> domain : domains) {
            GangPlacement placement = GangPlacement.of(job, usage, tasks, domain, preempt, preemption);
            if (placement != null && (best == null || placement.cost() < best.cost())) {
                best = placement;
            }
        }
        return best;
    }

    /**
     * Reserves machines for a gang that could not be placed, and returns how many of its tasks already fit, by zone.
     */
    Map<String, Integer> reserve(JobView job, TeamUsage usage, int tasks) {
        return reservations.isExhausted(job) ? new HashMap<>() : reservations.reserve(job, usage, tasks, domains(job));
    }

    /**
     * The sets of machines that a gang's tasks may be spread over: one per zone for a single-zone gang, else just one.
     */
    private Map<String, List<FreeCapacity>> domains(JobView job) {
        Map<String, List<FreeCapacity>> domains = new LinkedHashMap<>();
        for (FreeCapacity capacity : bookings.feasible(job)) {
            String zone = job.spec().singleZone() ? capacity.zone() : ANY_ZONE;
            domains.computeIfAbsent(zone, each -> new ArrayList<>()).add(capacity);
        }
        return domains;
    }
}
