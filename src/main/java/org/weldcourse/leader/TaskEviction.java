package org.weldcourse.leader;

import java.util.ArrayList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;

/**
 * Graceful eviction: requests the stop of tasks that did not start in time, whose spot machine is about to be reclaimed
 * by the cloud, or that are preempted. Tasks with checkpoints get a grace period to save one.
 */
final class TaskEviction {
    private static final Logger LOG = LoggerFactory.getLogger(TaskEviction.class);
    /** Assumed for a machine whose type is not known. */
    private static final double DEFAULT_FETCH_GB_PER_SECOND = 0.1;

    private static final double MIN_FETCH_GB_PER_SECOND = 0.01;
    /** Start time granted to a gang beyond its gang wait and twice the image fetch. */
    private static final long GANG_START_MARGIN_MICROS = 15_000_000;
    /** Added to the expected time for saving a checkpoint. */
    private static final long CHECKPOINT_SAVE_MARGIN_MICROS = 1_000_000;

    private final ClusterState cluster;
    private final long gangWaitMicros;

    TaskEviction(ClusterState cluster, long gangWaitMicros) {
        this.cluster = cluster;
        this.gangWaitMicros = gangWaitMicros;
    }

    /** Evicts a gang, which is then queued again, if not all of its tasks run before the start timeout. */
    void evictGangOnStartTimeout(Job job, long nowMicros) {
        for (Booking booking : job.bookings()) {
            long startTimeoutMicros = gangWaitMicros + twiceFetchMicros(booking) + GANG_START_MARGIN_MICROS;
            boolean timedOut = nowMicros - booking.bookedMicros() > startTimeoutMicros;
            if (timedOut && !booking.isRunning() && !booking.isStopRequested()) {
                LOG.info(
                        "{} attempt {} did not start on {} before its timeout",
                        booking.taskId(),
                        booking.attempt(),
                        booking.machine().name);
                cluster.evict(job, job.spec().checkpointSaveMicros());
                return;
            }
        }
    }

    private static long twiceFetchMicros(Booking booking) {
        double gbPerSecond = booking.machine().type == null
                ? DEFAULT_FETCH_GB_PER_SECOND
                : booking.machine().type.fetchGbPerSecond();
        return Math.round(booking.job().spec().imageGb() / Math.max(MIN_FETCH_GB_PER_SECOND, gbPerSecond) * 2e6);
    }

    /**
     * Evicts tasks that won't finish before the cloud reclaims their spot machine, so that they can save a checkpoint.
     */
    void evictBeforeReclaim(Machine machine, long nowMicros) {
        if (machine.reclaimAtMicros == Long.MAX_VALUE) {
            return;
        }
        for (Booking booking : new ArrayList<>(machine.bookings.values())) {
            if (booking.isStopRequested()) {
                continue;
            }
            if (nowMicros + cluster.runTimes.remainingMicros(booking, nowMicros) < machine.reclaimAtMicros) {
                continue;
            }
            LOG.debug(
                    "{} attempt {} is evicted from {}, which the cloud is about to reclaim",
                    booking.taskId(),
                    booking.attempt(),
                    machine.name);
            evict(booking);
        }
    }

    /**
     * Requests the stop of a task, with a grace period if it saves checkpoints. If the task belongs to a gang, the
     * whole gang is evicted.
     */
    void evict(Booking booking) {
        long gracePeriodMicros = booking.job().spec().checkpointIntervalMicros() > 0
                ? booking.job().spec().checkpointSaveMicros() + CHECKPOINT_SAVE_MARGIN_MICROS
                : 0;
        if (booking.job().spec().isGang()) {
            cluster.evict(booking.job(), gracePeriodMicros);
        } else {
            booking.requestStop(gracePeriodMicros);
        }
    }
}
