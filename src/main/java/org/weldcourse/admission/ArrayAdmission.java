package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Snapshot.JobView;
import org.weldcourse.jobs.JobSpec;

/** Admission of job arrays and services: as many of their tasks as find room. */
final class ArrayAdmission {
    private final CycleBookings bookings;
    private final MachinePreemption preemption;
    /** Arrays that found all room taken, by kind: their like that need as much or more find none in this cycle either. */
    private final Map<Kind, List<JobSpec>> withoutCapacity = new HashMap<>();

    ArrayAdmission(CycleBookings bookings, MachinePreemption preemption) {
        this.bookings = bookings;
        this.preemption = preemption;
    }

    /** Whose arrays may go where, and what they may preempt: all that decides on their room but their size. */
    private record Kind(String team, JobSpec.Priority priority, List<String> types, String zone, boolean spot) {
        Kind(JobSpec spec) {
            this(spec.team(), spec.priority(), spec.machineTypes(), spec.zone(), spec.allowsSpot());
        }
    }

    /**
     * Admits up to {@code max} tasks: on free room first, then over what they may preempt.
     *
     * @return how many were admitted
     */
    int place(JobView job, TeamUsage usage, int max) {
        JobSpec spec = job.spec();
        List<JobSpec> foundNone = withoutCapacity.computeIfAbsent(new Kind(spec), kind -> new ArrayList<>());
        if (foundNone.stream().anyMatch(smaller -> needsNoMoreThan(smaller, spec))) {
            return 0;
        }
        List<FreeCapacity> feasible = bookings.feasible(job);
        ZoneBudget zones = zoneBudget(job, feasible);
        ArrayBinPacking packed = ArrayBinPacking.onFreeCapacity(spec, feasible, zones, max);
        if (packed.left() < max) {
            bookings.book(job, usage, packed.tasksByMachine());
        }
        int left = packed.left();
        if (left > 0) {
            left -= placeOverVictims(job, usage, feasible, zones, left);
        }
        if (left > 0
                && packed.isExhausted()
                && !spec.singleZone()
                && !spec.spreadAcrossZones()
                && job.excludedMachines().isEmpty()) {
            foundNone.add(spec);
        }
        return max - left;
    }

    private static boolean needsNoMoreThan(JobSpec a, JobSpec b) {
        return a.cpus() <= b.cpus() && a.gpus() <= b.gpus() && a.memoryGb() <= b.memoryGb();
    }

    /** One that must be in a single zone stays where its tasks are; without any it goes where most of them fit. */
    private static ZoneBudget zoneBudget(JobView job, List<FreeCapacity> feasible) {
        Map<String, Integer> tasksByZone = new HashMap<>(job.tasksByZone());
        String onlyZone = null;
        if (job.spec().singleZone()) {
            onlyZone = tasksByZone.isEmpty()
                    ? ArrayBinPacking.zoneWithMostCapacity(feasible, job.spec())
                    : tasksByZone.keySet().iterator().next();
        }
        return new ZoneBudget(job.spec(), onlyZone, tasksByZone);
    }

    /** Books over what may be preempted: the victims are stopped, and the tasks run once those have left. */
    private int placeOverVictims(
            JobView job, TeamUsage usage, List<FreeCapacity> feasible, ZoneBudget zones, int wanted) {
        JobSpec spec = job.spec();
        boolean claimsGuarantee = preemption.claimsGuarantee(job, usage);
        feasible.removeIf(capacity -> !preemption.mayFindVictims(job, claimsGuarantee, capacity));
        PlacementOrder.sort(feasible, spec);
        Map<FreeCapacity, Integer> tasksByMachine = new LinkedHashMap<>();
        int left = wanted;
        for (FreeCapacity capacity : feasible) {
            String zone = capacity.machine.zone();
            int max = Math.min(left, zones.left(zone));
            if (max <= 0) {
                continue;
            }
            // First what the team may claim as its own; beyond that only priority counts.
            int claim = usage.tasksWithinGuarantee(spec);
            int wish = claim > 0 ? Math.min(claim, max) : max;
            MachinePreemption.Offer offer = preemption.offer(job, usage, capacity, wish, 0);
            if (offer != null) {
                int taken = Math.min(wish, offer.tasks());
                usage.charge(spec, taken);
                offer.victims().forEach(victim -> bookings.preempt(capacity, victim));
                tasksByMachine.put(capacity, taken);
                zones.take(zone, taken);
                left -= taken;
            }
        }
        if (!tasksByMachine.isEmpty()) {
            // They were charged one machine after the other, so that each saw what is left of the guarantee.
            usage.charge(spec, left - wanted);
            bookings.book(job, usage, tasksByMachine);
        }
        return wanted - left;
    }
}
