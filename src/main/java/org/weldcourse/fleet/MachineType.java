package org.weldcourse.fleet;

import java.util.List;
import org.weldcourse.jobs.JobSpec;

/**
 * A machine type on offer, with its current prices.
 *
 * @param cacheGb the size of the image cache
 * @param fetchGbPerSecond how fast images are fetched
 * @param onDemandPrice per hour, in the cloud's money
 * @param spotPrice per hour, in the cloud's money
 * @param bootMicros the usual time from the launch request until a machine is up, in microseconds
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

    /** Slack where amounts are compared: sums of decimal numbers are not exact. */
    public static final double EPSILON = 1e-6;

    /** Whether one task could ever run on an empty machine of this type. */
    public boolean fits(JobSpec job) {
        if (!job.allowsMachineType(name)
                || job.cpus() > cpus + EPSILON
                || job.gpus() > gpus + EPSILON
                || job.memoryGb() > memoryGb + EPSILON) {
            return false;
        }
        return job.zone() == null || zones.contains(job.zone());
    }

    /** How many tasks of the job an empty machine holds. */
    public int tasksThatFit(JobSpec job) {
        return tasksThatFit(job, cpus, gpus, memoryGb);
    }

    /** How many tasks of the job these amounts hold. */
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

    /** How long a machine fetches the job's image, in seconds. */
    public double fetchSeconds(JobSpec job) {
        return job.imageGb() / Math.max(0.01, fetchGbPerSecond);
    }

    /** The price per hour, as the cloud told it last. */
    public double pricePerHour(boolean spot) {
        return spot ? spotPrice : onDemandPrice;
    }

    /** The price of one CPU per hour. */
    public double pricePerCpuHour(boolean spot) {
        return pricePerHour(spot) / cpus;
    }
}
