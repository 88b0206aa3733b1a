package org.weldcourse.fleet;

/**
 * The capacity of a running or booting machine, as input to the scale-out plan.
 *
 * @param booting whether the machine is still booting; it has no images in its cache yet
 * @param availableAtMicros when the machine can run tasks
 * @param remainingCpuMicros the remaining work of its tasks, without service replicas, in CPU-microseconds
 * @param serviceCpus the CPUs occupied by service replicas, which run indefinitely
 * @param higherPriorityShares for each priority, by ordinal, the share (0 to 1) of the machine that work of higher
 *     priority is expected to use
 */
public record HostCapacity(
        MachineType type,
        String zone,
        boolean spot,
        boolean booting,
        long availableAtMicros,
        double remainingCpuMicros,
        double serviceCpus,
        double[] higherPriorityShares) {}
