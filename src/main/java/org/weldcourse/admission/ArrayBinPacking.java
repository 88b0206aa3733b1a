package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.jobs.JobSpec;

/**
 * Bin packing of an array's or a service's tasks on capacity that is free now or expected to be free soon, without
 * preemption.
 *
 * @param tasksByMachine the number of tasks by machine, in placement order; nothing is booked yet
 * @param unplaced the number of tasks that were not placed
 * @param capacityExhausted whether free capacity ran out, as opposed to tasks being held back until capacity is
 *     actually free
 */
record ArrayBinPacking(Map<FreeCapacity, Integer> tasksByMachine, int unplaced, boolean capacityExhausted) {
    /** Places up to {@code max} tasks on the feasible machines and charges them to the zone budget. */
    static ArrayBinPacking onFreeCapacity(JobSpec spec, List<FreeCapacity> feasible, ZoneBudget zones, int max) {
        // Cheapest machines first, then the fullest, so that expensive machines become idle and can be released.
        List<FreeCapacity> candidates = new ArrayList<>();
        for (FreeCapacity capacity : feasible) {
            if (capacity.fitsSoon(spec) > 0) {
                candidates.add(capacity);
            }
        }
        PlacementOrder.sort(candidates, spec);
        Map<FreeCapacity, Integer> tasksByMachine = new LinkedHashMap<>();
        int left = max;
        if (spec.isService()) {
            left = ReplicaPlacement.spread(spec, candidates, zones, tasksByMachine, left);
        }
        left = fill(spec, candidates, zones, tasksByMachine, left, false, 0);
        int heldBack = 0;
        // Replicas do not wait for capacity that is free soon, because they can preempt lower priorities instead.
        if (!spec.isService()) {
            // A job ends with its last task, so half of the waiting tasks are held back for capacity that is free
            // already.
            heldBack = (left + 1) / 2;
            left = fill(spec, candidates, zones, tasksByMachine, left, true, heldBack);
        }
        return new ArrayBinPacking(tasksByMachine, left, left > heldBack);
    }

    /**
     * Fills the candidates in their order and adds the tasks to {@code tasksByMachine}, until {@code keep} tasks are
     * left.
     *
     * @param includeFreeSoon whether to count capacity that is expected to be free soon
     * @return the number of tasks that are left
     */
    private static int fill(
            JobSpec spec,
            List<FreeCapacity> candidates,
            ZoneBudget zones,
            Map<FreeCapacity, Integer> tasksByMachine,
            int left,
            boolean includeFreeSoon,
            int keep) {
        for (FreeCapacity capacity : candidates) {
            if (left <= keep) {
                break;
            }
            String zone = capacity.machine.zone();
            int fits = (includeFreeSoon ? capacity.fitsSoon(spec) : capacity.fits(spec))
                    - tasksByMachine.getOrDefault(capacity, 0);
            fits = Math.min(Math.min(left - keep, fits), zones.remaining(zone));
            if (fits > 0) {
                tasksByMachine.merge(capacity, fits, Integer::sum);
                zones.consume(zone, fits);
                left -= fits;
            }
        }
        return left;
    }

    /**
     * The zone in which most tasks fit, or null if no machine is feasible. Used for a single-zone job without any tasks
     * yet.
     */
    static String zoneWithMostCapacity(List<FreeCapacity> feasible, JobSpec spec) {
        Map<String, Integer> fits = new HashMap<>();
        for (FreeCapacity capacity : feasible) {
            fits.merge(capacity.machine.zone(), capacity.fits(spec), Integer::sum);
        }
        return fits.entrySet().stream()
                .max(Comparator.comparingInt((Map.Entry<String, Integer> entry) -> entry.getValue())
                        .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey)
                .orElse(null);
    }
}
