package org.weldcourse.workers;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.cluster.QuotaUsage;

/**
 * The one place that authorizes the start of a task. What the planner admitted is checked again here, since more may
 * count against a team's quota by now than when it was admitted: a task that is found on a machine without a booking,
 * for example.
 */
public final class StartAuthorization {
    private static final Logger LOG = LoggerFactory.getLogger(StartAuthorization.class);
    /** How often refusals for the same team are logged. */
    private static final long LOG_AGAIN_MICROS = 30_000_000;

    private final ClusterState cluster;
    private final TeamQuotas quotas;
    private final StartCounts counts;
    private final Map<String, Long> lastLoggedMicros = new HashMap<>();

    /** What is asked of the teams' quotas before a start. */
    public interface TeamQuotas {
        /** Whether the team's bookings alone exceed its limit. */
        boolean isOverbooked(String team);

        /** Whether all that counts against the team's limit exceeds it. */
        boolean isLimitExceeded(String team);

        /** The team's limit, for logs. */
        String describeLimit(String team);
    }

    /** Authorizes the starts of one leader term; {@code counts} outlives it. */
    public StartAuthorization(ClusterState cluster, TeamQuotas quotas, StartCounts counts) {
        this.cluster = cluster;
        this.quotas = quotas;
        this.counts = counts;
    }

    /** Whether the team's bookings alone exceed its limit, so that those that have not started are to be freed. */
    public boolean isOverbooked(String team) {
        return quotas.isOverbooked(team);
    }

    /**
     * Whether the task may be started on its machine now, as far as records, job, machine and team go. A refusal for
     * the team's limit is counted in the {@link StartCounts} and logged at most every 30 seconds per team.
     *
     * @param nowMicros the time of the event loop, in microseconds
     */
    public boolean allows(Booking booking, long nowMicros) {
        return isAdmitted(booking) && isOnNoOtherMachine(booking) && isWithinLimit(booking, nowMicros);
    }

    private static boolean isAdmitted(Booking booking) {
        Job job = booking.job();
        return booking.isPersisted()
                && !booking.isReported()
                && !booking.isStopRequested()
                && !job.isCancelled()
                && !job.isClosed()
                && !job.isStale();
    }

    private boolean isOnNoOtherMachine(Booking booking) {
        Machine elsewhere = cluster.lastSeenOn(booking.taskId());
        if (elsewhere != null && elsewhere != booking.machine()) {
            return false;
        }
        for (TaskStatus unbooked : booking.machine().unbookedTasks) {
            if (unbooked.id().equals(booking.taskId())) {
                return false;
            }
        }
        return true;
    }

    private boolean isWithinLimit(Booking booking, long nowMicros) {
        String team = booking.job().spec().team();
        if (!quotas.isLimitExceeded(team)) {
            return true;
        }
        if (quotas.isOverbooked(team)) {
            // The planner admits within limits, and bookings of an earlier leader beyond them were freed before.
            counts.countViolation();
            if (mayLog(team, nowMicros)) {
                LOG.error(
                        "{} attempt {} is not started on {}: {}",
                        booking.taskId(),
                        booking.attempt(),
                        booking.machine().name,
                        usageText(team));
            }
            return false;
        }
        counts.countWithheld();
        if (mayLog(team, nowMicros)) {
            LOG.info(
                    "{} attempt {} waits on {} for what is not booked: {}",
                    booking.taskId(),
                    booking.attempt(),
                    booking.machine().name,
                    usageText(team));
        }
        return false;
    }

    private boolean mayLog(String team, long nowMicros) {
        Long last = lastLoggedMicros.get(team);
        boolean may = last == null || nowMicros - last >= LOG_AGAIN_MICROS;
        if (may) {
            lastLoggedMicros.put(team, nowMicros);
        }
        return may;
    }

    /** Counts the start of a task and logs, at debug level, why it was allowed. */
    public void started(Booking booking) {
        counts.countStarted();
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "{} attempt {} is started on {}, on record in {}: {}",
                    booking.taskId(),
                    booking.attempt(),
                    booking.machine().name,
                    booking.recordKey(),
                    usageText(booking.job().spec().team()));
        }
    }

    private String usageText(String team) {
        QuotaUsage usage = cluster.quotaUsage;
        return "team " + team + " has " + usage.bookedBy(team) + " booked and " + usage.unbookedBy(team)
                + " besides, of " + quotas.describeLimit(team);
    }
}
