package org.weldcourse.leader;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.jobs.JobSpec;

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
        for (BookingGroup group : job.bookings().groups()) {
            long startTimeoutMicros = gangWaitMicros + twiceFetchMicros(group) + GANG_START_MARGIN_MICROS;
            boolean timedOut = nowMicros - group.lastBookedMicros() > startTimeoutMicros;
            if (timedOut && group.runningCount() < group.size() && !job.isEvicted()) {
                LOG.info(
                        "{}: {} of {} tasks did not start on {} before their timeout",
                        job.spec().id(),
                        group.size() - group.runningCount(),
                        group.size(),
                        group.machine().name);
                cluster.evict(job, job.spec().checkpointSaveMicros());
                return;
            }
        }
    }

    private static long twiceFetchMicros(BookingGroup group) {
        double gbPerSecond = group.machine().type == null
                ? DEFAULT_FETCH_GB_PER_SECOND
                : group.machine().type.fetchGbPerSecond();
        return Math.round(group.spec().imageGb() / Math.max(MIN_FETCH_GB_PER_SECOND, gbPerSecond) * 2e6);
    }

    /**
     * Evicts tasks that won't finish before the cloud reclaims their spot machine, so that they can save a checkpoint.
     */
    void evictBeforeReclaim(Machine machine, long nowMicros) {
        if (machine.reclaimAtMicros == Long.MAX_VALUE) {
            return;
        }
        for (BookingGroup group : machine.bookings.groups()) {
            for (Booking booking : group.present()) {
                long endMicros = nowMicros + cluster.runTimes.remainingMicros(booking, nowMicros);
                if (!booking.isStopRequested() && endMicros >= machine.reclaimAtMicros) {
                    LOG.debug(
                            "{} attempt {} is evicted from {}, which the cloud is about to reclaim",
                            booking.taskId(),
                            booking.attempt(),
                            machine.name);
                    evict(booking);
                }
            }
            if (nowMicros + cluster.runTimes.expectedMicros(group.job()) >= machine.reclaimAtMicros) {
                evictWaiting(group, group.waitingCount());
            }
        }
    }

    /**
     * Stops up to {@code max} tasks that wait on one machine, those that were booked first. If they belong to a gang, the
     * whole gang is evicted.
     */
    void evictWaiting(BookingGroup group, int max) {
        if (max == 0) {
            return;
        }
        if (group.spec().isGang()) {
            cluster.evict(group.job(), gracePeriodMicros(group.spec()));
        } else {
            group.stopWaiting(cluster, max);
        }
    }

    /**
     * Requests the stop of a task, with a grace period if it saves checkpoints. If the task belongs to a gang, the
     * whole gang is evicted.
     */
    void evict(Booking booking) {
        long gracePeriodMicros = gracePeriodMicros(booking.job().spec());
        if (booking.job().spec().isGang()) {
            cluster.evict(booking.job(), gracePeriodMicros);
        } else {
            booking.requestStop(gracePeriodMicros);
        }
    }

    private static long gracePeriodMicros(JobSpec spec) {
        return spec.checkpointIntervalMicros() > 0 ? spec.checkpointSaveMicros() + CHECKPOINT_SAVE_MARGIN_MICROS : 0;
    }
}
