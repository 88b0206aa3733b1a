package org.weldcourse.fleet;

/**
 * What a machine that is up or on its way has to give, as the scale-out plan sees it.
 *
 * @param booting it is not up yet, and so holds no image
 * @param availableAtMicros from when it can take work
 * @param remainingCpuMicros the work that is left of tasks on it, in CPU-microseconds, replicas of services left out
 * @param serviceCpus CPUs that replicas of services hold for good
 * @param higherPriorityShares by the ordinal of a pending job's priority, the part (0 to 1) of the machine that work of higher
 *     priority is likely to take
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
