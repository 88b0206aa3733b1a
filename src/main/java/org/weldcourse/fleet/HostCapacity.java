package org.weldcourse.fleet;

import org.weldcourse.jobs.JobSpec;
import org.weldcourse.placement.PlacementTarget;

/**
 * The capacity of a running or booting machine, as input to the scale-out plan.
 *
 * @param name the machine's name, or null if it is not launched yet
 * @param reservedFor the gang that the machine is reserved for, or null
 * @param booting whether the machine is still booting; it has no images in its cache yet
 * @param availableAtMicros when the machine can run tasks
 * @param remainingCpuMicros the remaining work of its tasks, without service replicas, in CPU-microseconds
 * @param serviceCpus the CPUs occupied by service replicas, which run indefinitely
 * @param higherPriorityShares for each priority, by ordinal, the share (0 to 1) of the machine that work of higher
 *     priority is expected to use
 */
public record HostCapacity(
        String name,
        MachineType type,
        String zone,
        boolean spot,
        JobSpec reservedFor,
        boolean booting,
        long availableAtMicros,
        double remainingCpuMicros,
        double serviceCpus,
        double[] higherPriorityShares)
        implements PlacementTarget {
    /** Creates the capacity of a machine without a name, which is not reserved. */
    public HostCapacity(
            MachineType type,
            String zone,
            boolean spot,
            boolean booting,
            long availableAtMicros,
            double remainingCpuMicros,
            double serviceCpus,
            double[] higherPriorityShares) {
        this(
                null,
                type,
                zone,
                spot,
                null,
                booting,
                availableAtMicros,
                remainingCpuMicros,
                serviceCpus,
                higherPriorityShares);
    }
}
