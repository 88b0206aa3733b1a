package org.weldcourse.admission;

import java.util.List;
import org.weldcourse.jobs.JobSpec;

/** The order in which machines are filled: cheapest, not needed for start objectives, image cached, fullest. */
final class PlacementOrder {
    private PlacementOrder() {}

    /** Sorts the machines by preference for the job, best first. */
    static void sort(List<FreeCapacity> capacities, JobSpec spec) {
        if (spec.isService()) {
            ReplicaPlacement.sort(capacities, spec);
        } else {
            sortByPreference(capacities, spec);
        }
    }

    private static void sortByPreference(List<FreeCapacity> capacities, JobSpec spec) {
        for (FreeCapacity capacity : capacities) {
            capacity.neededForStartSlo = capacity.machine.startSloPriority() != null
                    && capacity.machine.startSloPriority().compareTo(spec.priority()) < 0;
            capacity.holdsImage = capacity.machine.allocation().images().contains(spec.image());
        }
        capacities.sort(PlacementOrder::comparePreference);
    }

    private static int comparePreference(FreeCapacity a, FreeCapacity b) {
        if (a.priceTier != b.priceTier) {
            return Integer.compare(a.priceTier, b.priceTier);
        }
        if (a.neededForStartSlo != b.neededForStartSlo) {
            return Boolean.compare(a.neededForStartSlo, b.neededForStartSlo);
        }
        if (a.holdsImage != b.holdsImage) {
            return Boolean.compare(b.holdsImage, a.holdsImage);
        }
        int byCpus = Double.compare(a.cpus, b.cpus);
        return byCpus != 0 ? byCpus : a.machine.name().compareTo(b.machine.name());
    }
}
