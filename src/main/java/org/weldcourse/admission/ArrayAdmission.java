package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Snapshot.JobView;
import org.weldcourse.jobs.JobSpec;

/** Admits job arrays and services: as many of their tasks as fit. */
final class ArrayAdmission {
    private final CycleBookings bookings;
    private final MachinePreemption preemption;
    /**
     * Jobs that found no capacity left, by constraints. Others that need as much or more per task are skipped this
     * cycle.
     */
    private final Map<ConstraintKey, List<JobSpec>> unplaceable = new HashMap<>();

    ArrayAdmission(CycleBookings bookings, MachinePreemption preemption) {
        this.bookings = bookings;
        this.preemption = preemption;
    }

    /**
     * The properties of a job, apart from its resource request, that determine on which machines it may run and what it
     * may preempt.
     */
    private record ConstraintKey(
            String team, JobSpec.Priority priority, List<String> types, String zone, boolean spot) {
        ConstraintKey(JobSpec spec) {
            this(spec.team(), spec.priority(), spec.machineTypes(), spec.zone(), spec.allowsSpot());
        }
    }

    /**
     * Admits up to {@code max} tasks: on free capacity first, then by preemption.
     *
     * @return the number of admitted tasks
     */
    int place(JobView job, TeamUsage usage, int max) {
        JobSpec spec = job.spec();
        List<JobSpec> unplaceableSpecs = unplaceable.computeIfAbsent(new ConstraintKey(spec), key -> new ArrayList<>());
        if (unplaceableSpecs.stream().anyMatch(other -> needsNoMoreThan(other, spec))) {
            return 0;
        }
        List<FreeCapacity> feasible = bookings.feasible(job);
        ZoneBudget zones = zoneBudget(job, feasible);
        ArrayBinPacking packing = ArrayBinPacking.onFreeCapacity(spec, feasible, zones, max);
        if (packing.unplaced() < max) {
            bookings.book(job, usage, packing.tasksByMachine());
        }
        int left = packing.unplaced();
        if (left > 0) {
            left -= placeByPreemption(job, usage, feasible, zones, left);
        }
        if (left > 0
                && packing.capacityExhausted()
                && !spec.singleZone()
                && !spec.spreadAcrossZones()
                && job.excludedMachines().isEmpty()) {
            unplaceableSpecs.add(spec);
        }
        return max - left;
    }

    private static boolean needsNoMoreThan(JobSpec a, JobSpec b) {
        return a.cpus() <= b.cpus() && a.gpus() <= b.gpus() && a.memoryGb() <= b.memoryGb();
    }

    /**
     * A single-zone job stays in the zone of its tasks on machines, or goes to the zone with the most capacity if it has
     * none.
     */
    private static ZoneBudget zoneBudget(JobView job, List<FreeCapacity> feasible) {
        boolean choosesZone = job.spec().singleZone() && job.zones().isEmpty();
        String onlyZone = choosesZone ? ArrayBinPacking.zoneWithMostCapacity(feasible, job.spec()) : null;
        return new ZoneBudget(job.spec(), onlyZone, job.zones());
    }

    /**
     * Books tasks in place of preemptible ones: the victims are stopped, and the tasks start once the victims have
     * exited.
     */
    private int placeByPreemption(
            JobView job, TeamUsage usage, List<FreeCapacity> feasible, ZoneBudget zones, int wanted) {
        JobSpec spec = job.spec();
        boolean claimsGuarantee = preemption.claimsGuarantee(job, usage);
        feasible.removeIf(capacity -> !preemption.mayHaveVictims(job, claimsGuarantee, capacity));
        PlacementOrder.sort(feasible, spec);
        Map<FreeCapacity, Integer> tasksByMachine = new LinkedHashMap<>();
        int left = wanted;
        for (FreeCapacity capacity : feasible) {
            String zone = capacity.machine.zone();
            int max = Math.min(left, zones.remaining(zone));
            if (max <= 0) {
                continue;
            }
            // Within the team's guarantee, borrowed capacity can be reclaimed; beyond it only lower priorities are
            // preempted.
            int guaranteed = usage.tasksWithinGuarantee(spec);
            int requested = guaranteed > 0 ? Math.min(guaranteed, max) : max;
            MachinePreemption.PlacementOption option = preemption.optionOn(job, usage, capacity, requested, 0);
            if (option != null) {
                int taken = Math.min(requested, option.tasks());
                usage.charge(spec, taken);
                option.victims().forEach(victim -> bookings.preempt(job, capacity, victim));
                tasksByMachine.put(capacity, taken);
                zones.consume(zone, taken);
                left -= taken;
            }
        }
        if (!tasksByMachine.isEmpty()) {
            // Undo the charges made above, which let each machine see the remaining guarantee: book() charges again.
            usage.charge(spec, left - wanted);
            bookings.book(job, usage, tasksByMachine);
        }
        return wanted - left;
    }
}
