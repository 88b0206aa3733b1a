package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.cluster.Snapshot.JobView;
import org.weldcourse.cluster.Snapshot.TaskView;

/** Reserves machines in one admission cycle for gangs that do not fit yet. */
final class GangReservations {
    /** How long machines stay reserved for a gang, from its acceptance or from the end of the last pause. */
    private static final long RESERVATION_MICROS = 225_000_000;

    private static final long RESERVATION_PAUSE_MICROS = 60_000_000;
    /** After this wait machines are reserved even if all existing ones together cannot hold the gang. */
    private static final long PARTIAL_RESERVATION_AFTER_MICROS = 45_000_000;

    private final CycleBookings bookings;
    private final MachinePreemption preemption;
    private final long nowMicros;
    /**
     * Shapes without a machine left to reserve, so that a burst of hundreds of gangs does not scan all machines again.
     */
    private final Set<GangShape> exhausted = new HashSet<>();

    GangReservations(CycleBookings bookings, MachinePreemption preemption, long nowMicros) {
        this.bookings = bookings;
        this.preemption = preemption;
        this.nowMicros = nowMicros;
    }

    /** Whether no machine is left to reserve for gangs of this job's shape. */
    boolean isExhausted(JobView job) {
        return exhausted.contains(new GangShape(job.spec()));
    }

    /**
     * Reserves the best machines for a gang that does not fit, so that smaller gangs behind it do not starve it. Lower
     * priorities may use them in the meantime. The reservation depends on the time of acceptance alone, so that every
     * leader reserves the same way. It pauses periodically, in case the missing machines never become available.
     *
     * @return how many of the gang's tasks already fit, by zone
     */
    Map<String, Integer> reserve(JobView job, TeamUsage usage, int tasks, Map<String, List<FreeCapacity>> domains) {
        if (domains.isEmpty() && job.excludedMachines().isEmpty()) {
            exhausted.add(new GangShape(job.spec()));
        }
        long waitedMicros = nowMicros - job.acceptedMicros();
        Map<String, Integer> freeSlotsByZone = new HashMap<>();
        DomainCapacity best = null;
        for (List<FreeCapacity> domain : domains.values()) {
            DomainCapacity domainCapacity = assess(job, usage, tasks, domain, freeSlotsByZone);
            // If all machines of the domain together cannot hold the gang, reserving them is useless until more are
            // rented.
            boolean worthReserving =
                    domainCapacity.totalSlots >= tasks || waitedMicros > PARTIAL_RESERVATION_AFTER_MICROS;
            if (worthReserving && (best == null || domainCapacity.freeSlots > best.freeSlots)) {
                best = domainCapacity;
            }
        }
        boolean paused = Math.floorMod(Math.max(0, waitedMicros), RESERVATION_MICROS + RESERVATION_PAUSE_MICROS)
                >= RESERVATION_MICROS;
        if (best != null && !paused) {
            reserveSoonestFree(job, best.candidates, tasks);
        }
        return freeSlotsByZone;
    }

    /**
     * The machines of a domain, and how many of the gang's tasks they can hold.
     *
     * @param freeSlots how many tasks fit, including by preemption
     * @param totalSlots how many tasks would fit if the machines were empty
     */
    private record DomainCapacity(List<Candidate> candidates, int freeSlots, int totalSlots) {}

    /** Counts how many of the gang's tasks a domain can hold, and adds the free slots to {@code freeSlotsByZone}. */
    private DomainCapacity assess(
            JobView job, TeamUsage usage, int tasks, List<FreeCapacity> domain, Map<String, Integer> freeSlotsByZone) {
        boolean claimsGuarantee = preemption.claimsGuarantee(job, usage);
        List<Candidate> candidates = new ArrayList<>(domain.size());
        int freeSlots = 0;
        int totalSlots = 0;
        for (FreeCapacity capacity : domain) {
            MachinePreemption.PlacementOption option =
                    capacity.fits(job.spec()) > 0 || preemption.mayHaveVictims(job, claimsGuarantee, capacity)
                            ? preemption.optionOn(job, usage, capacity, tasks, 0)
                            : null;
            int slots = option == null ? 0 : option.tasks();
            candidates.add(new Candidate(capacity, slots == 0, freeAtMicros(capacity)));
            freeSlots += slots;
            totalSlots += capacity.machine.type().tasksThatFit(job.spec());
            freeSlotsByZone.merge(capacity.machine.zone(), slots, Integer::sum);
        }
        return new DomainCapacity(candidates, freeSlots, totalSlots);
    }

    /** Reserves the machines that are expected to be free soonest, as many as the gang needs. */
    private void reserveSoonestFree(JobView job, List<Candidate> candidates, int tasks) {
        candidates.sort(Candidate::compareAvailability);
        int slots = 0;
        for (Candidate candidate : candidates) {
            FreeCapacity capacity = candidate.capacity;
            if (slots >= tasks) {
                break;
            }
            bookings.reserve(capacity, job.spec());
            slots += capacity.machine.type().tasksThatFit(job.spec());
        }
    }

    /**
     * A machine that may be reserved.
     *
     * @param withoutFreeSlot whether no task of the gang fits on it yet, even by preemption
     * @param freeAtMicros when its last task is expected to end
     */
    private record Candidate(FreeCapacity capacity, boolean withoutFreeSlot, long freeAtMicros) {
        int compareAvailability(Candidate other) {
            if (withoutFreeSlot != other.withoutFreeSlot) {
                return Boolean.compare(withoutFreeSlot, other.withoutFreeSlot);
            }
            int byTime = Long.compare(freeAtMicros, other.freeAtMicros);
            return byTime != 0 ? byTime : capacity.machine.name().compareTo(other.capacity.machine.name());
        }
    }

    /** When the last task on the machine is expected to end. */
    private long freeAtMicros(FreeCapacity capacity) {
        long endMicros = nowMicros;
        for (TaskView task : capacity.machine.allocation().tasks()) {
            endMicros = Math.max(endMicros, task.expectedEndMicros(nowMicros));
        }
        return endMicros;
    }
}
