package org.weldcourse.quota.enforcement;

import java.util.Map;
import java.util.TreeMap;
import org.weldcourse.quota.ResourceAmount;

/**
 * Counts recently accepted jobs of one team by the process that accepted them, and the largest amount that one of them
 * needed. The counts cover two consecutive time windows.
 */
final class RecentDemand {
    private static final long WINDOW_MICROS = 10_000_000;

    private Map<String, Count> current = new TreeMap<>();
    private Map<String, Count> previous = new TreeMap<>();
    private long windowStartMicros;

    /** The number of jobs and the largest amount that one of them needed, for each resource. */
    record Count(int jobs, ResourceAmount largest) {
        Count plus(Count other) {
            long cpus = Math.max(largest.cpuMillionths(), other.largest.cpuMillionths());
            long gpus = Math.max(largest.gpuMillionths(), other.largest.gpuMillionths());
            return new Count(jobs + other.jobs, new ResourceAmount(cpus, gpus));
        }
    }

    void add(String owner, ResourceAmount amount, long nowMicros) {
        rotateWindows(nowMicros);
        current.merge(owner, new Count(1, amount), Count::plus);
    }

    /** Returns the counts over both windows, by the process that accepted the jobs. */
    Map<String, Count> recent(long nowMicros) {
        rotateWindows(nowMicros);
        Map<String, Count> recent = new TreeMap<>(previous);
        current.forEach((owner, count) -> recent.merge(owner, count, Count::plus));
        return recent;
    }

    private void rotateWindows(long nowMicros) {
        if (nowMicros - windowStartMicros < WINDOW_MICROS) {
            return;
        }
        previous = nowMicros - windowStartMicros < 2 * WINDOW_MICROS ? current : new TreeMap<>();
        current = new TreeMap<>();
        windowStartMicros = nowMicros;
    }
}
