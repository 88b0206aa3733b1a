package org.weldcourse.cluster;

import java.util.HashMap;
import java.util.Map;

/**
 * Corrects the users' run time estimates by observed run times. Estimates are off by up to half, on some days all in
 * the same direction, so a correction factor is learned for each job class. A job with finished tasks uses their mean
 * instead.
 */
public final class RunTimeEstimator {
    private static final double MIN_FACTOR = 0.25;
    private static final double MAX_FACTOR = 4;
    /** The weight of the users' estimates, as a number of tasks that ran exactly as long as estimated. */
    private static final double PRIOR_TASKS = 5;
    /** Decay of older samples for each new one, so that the factor follows a change within a few dozen tasks. */
    private static final double DECAY = 0.98;

    /** By job class: the decayed sum of the ratios of observed to estimated run time, and the decayed sample count. */
    private final Map<String, double[]> byClass = new HashMap<>();

    /** The assumed run time of service replicas, which do not end by themselves. */
    private static final long SERVICE_RUN_MICROS = 300L * 86_400 * 1_000_000;

    /** Records the run time of a finished task that was observed from its start. */
    public void recordRun(Job job, long ranMicros) {
        if (job.spec().isService()) {
            return;
        }
        job.runHistory().addRun(ranMicros);
        long estimateMicros = job.spec().estimatedRunMicros();
        if (estimateMicros > 0) {
            double[] sums = byClass.computeIfAbsent(job.spec().jobClass(), name -> new double[2]);
            double ratio = Math.min(MAX_FACTOR, (double) ranMicros / estimateMicros);
            sums[0] = sums[0] * DECAY + ratio;
            sums[1] = sums[1] * DECAY + 1;
        }
    }

    /** The expected run time of one of the job's tasks. */
    public long expectedMicros(Job job) {
        if (job.spec().isService()) {
            return SERVICE_RUN_MICROS;
        }
        if (job.runHistory().hasFinishedRuns()) {
            return job.runHistory().meanRunMicros();
        }
        double[] sums = byClass.get(job.spec().jobClass());
        double factor = sums == null ? 1 : (sums[0] + PRIOR_TASKS) / (sums[1] + PRIOR_TASKS);
        return (long) (job.spec().estimatedRunMicros() * Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor)));
    }

    /** The expected remaining run time of a booked task: never less than a quarter of its expected run time. */
    public long remainingMicros(Booking booking, long nowMicros) {
        long expectedMicros = expectedMicros(booking.job());
        long ranMicros = booking.isRunning() ? nowMicros - booking.runningSinceMicros() : 0;
        return Math.max(expectedMicros / 4, expectedMicros - ranMicros);
    }

    /** The sum of the expected remaining run times of a job's tasks on one machine. */
    public double remainingMicros(BookingGroup group, long nowMicros) {
        int notStarted = group.waitingCount() + group.stoppedCount();
        double remainingMicros = (double) expectedMicros(group.job()) * notStarted;
        for (Booking booking : group.present()) {
            remainingMicros += remainingMicros(booking, nowMicros);
        }
        return remainingMicros;
    }
}
