package org.weldcourse.fleet;

import java.util.List;
import org.weldcourse.jobs.JobSpec;

/**
 * A machine type that the cloud offers, with its current prices.
 *
 * @param cacheGb the size of the image cache
 * @param fetchGbPerSecond the rate at which images are fetched
 * @param onDemandPrice the price per hour, in the cloud's currency
 * @param spotPrice the price per hour of a spot machine, in the cloud's currency
 * @param bootMicros the usual time from the launch request until a machine has booted, in microseconds
 */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGb,
        double cacheGb,
        double fetchGbPerSecond,
        double onDemandPrice,
        double spotPrice,
        long bootMicros,
        List<String> zones) {

    /** Tolerance for comparing resource amounts, as floating-point sums are inexact. */
    public static final double EPSILON = 1e-6;

    /** Returns whether a task of the job fits on an empty machine of this type. */
    public boolean fits(JobSpec job) {
        if (!job.allowsMachineType(name)
                || job.cpus() > cpus + EPSILON
                || job.gpus() > gpus + EPSILON
                || job.memoryGb() > memoryGb + EPSILON) {
            return false;
        }
        return job.zone() == null || zones.contains(job.zone());
    }

    /** Returns how many tasks of the job fit on an empty machine. */
    public int tasksThatFit(JobSpec job) {
        return tasksThatFit(job, cpus, gpus, memoryGb);
    }

    /** Returns how many tasks of the job fit into the given resources. */
    public static int tasksThatFit(JobSpec job, double cpus, double gpus, double memoryGb) {
        double tasks = Math.floor((cpus + EPSILON) / job.cpus());
        if (job.gpus() > 0) {
            tasks = Math.min(tasks, Math.floor((gpus + EPSILON) / job.gpus()));
        }
        if (job.memoryGb() > 0) {
            tasks = Math.min(tasks, Math.floor((memoryGb + EPSILON) / job.memoryGb()));
        }
        return (int) Math.max(0, tasks);
    }

    /** Returns the time to fetch the job's image, in seconds. */
    public double fetchSeconds(JobSpec job) {
        return job.imageGb() / Math.max(0.01, fetchGbPerSecond);
    }

    /** Returns the price per hour. */
    public double pricePerHour(boolean spot) {
        return spot ? spotPrice : onDemandPrice;
    }

    /** Returns the price per CPU and hour. */
    public double pricePerCpuHour(boolean spot) {
        return pricePerHour(spot) / cpus;
    }
}
