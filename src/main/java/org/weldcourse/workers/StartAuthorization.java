package org.weldcourse.workers;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.cluster.QuotaUsage;
import org.weldcourse.cluster.ZoneCounts;

/**
 * Authorizes every start of a task. It checks the admitted task once more, because the team's quota usage may have
 * grown since the admission: for example by a task that is found on a machine without a booking.
 */
public final class StartAuthorization {
    private static final Logger LOG = LoggerFactory.getLogger(StartAuthorization.class);
    /** The minimum time between two log lines about refusals for the same team. */
    private static final long REFUSAL_LOG_INTERVAL_MICROS = 30_000_000;
    /** The first starts of a term are logged at info level: what goes wrong after a failover begins with them. */
    private static final int FIRST_STARTS_LOGGED = 20;

    private final ClusterState cluster;
    private final TeamQuotas quotas;
    private final StartCounts counts;
    private final Map<String, Long> lastLoggedMicrosByTeam = new HashMap<>();
    private int startsToLogAtInfo;

    /** The checks of a team's quota before a start. */
    public interface TeamQuotas {
        /** Whether the team's bookings alone exceed its limit. */
        boolean isOverbooked(String team);

        /** Whether the team's whole usage, with unbooked tasks and released tasks on record, exceeds its limit. */
        boolean isLimitExceeded(String team);

        /** Describes the team's limit for logs. */
        String describeLimit(String team);
    }

    /** Authorizes the starts of one leader term; {@code counts} continue over all terms of the process. */
    public StartAuthorization(ClusterState cluster, TeamQuotas quotas, StartCounts counts) {
        this.cluster = cluster;
        this.quotas = quotas;
        this.counts = counts;
    }

    /**
     * Whether the team's bookings alone exceed its limit, so that bookings of tasks not yet started must be
     * released.
     */
    public boolean isOverbooked(String team) {
        return quotas.isOverbooked(team);
    }

    /**
     * Whether the task may be started on its machine now: its admission is persisted, its job is open, no other
     * attempt of it is on any machine, it keeps its job's zones and its team is within its limit. A refusal because of the limit is counted in
     * {@link StartCounts} and logged at most every 30 seconds per team.
     *
     * @param nowMicros the time of the event loop, in microseconds
     */
    public boolean allows(Booking booking, long nowMicros) {
        return isAdmitted(booking)
                && hasNoOtherAttempt(booking)
                && keepsZones(booking)
                && isWithinLimit(booking, nowMicros);
    }

    /** Whether the task waits for its start on a persisted admission, and neither its job nor the leader has ended it. */
    static boolean isAdmitted(Booking booking) {
        Job job = booking.job();
        return booking.isPersisted()
                && !booking.isReported()
                && !booking.isStopRequested()
                && !job.isCancelled()
                && !job.isClosed()
                && !job.isStale();
    }

    private boolean hasNoOtherAttempt(Booking booking) {
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

    /**
     * Whether the task may be in its machine's zone, given the job's other tasks. Admissions keep the zones among the
     * tasks that are booked; others may have been found on machines since.
     */
    private static boolean keepsZones(Booking booking) {
        Job job = booking.job();
        if (!job.hasUnbookedTasks() || !job.spec().hasZoneConstraint()) {
            return true;
        }
        ZoneCounts zones = job.zoneCounts();
        String zone = booking.machine().zone;
        return job.spec().singleZone()
                ? zones.areAllIn(zone)
                : zones.atMostIn(zone) <= job.spec().maxTasksPerZone();
    }

    private boolean isWithinLimit(Booking booking, long nowMicros) {
        String team = booking.job().spec().team();
        if (!quotas.isLimitExceeded(team)) {
            return true;
        }
        if (quotas.isOverbooked(team)) {
            // A violation: the planner admits within limits, and bookings of an earlier leader above them are already
            // released.
            counts.countViolation();
            if (shouldLogRefusal(team, nowMicros)) {
                LOG.error(
                        "refused to start {} attempt {} on {}: {}",
                        booking.taskId(),
                        booking.attempt(),
                        booking.machine().name,
                        describeUsage(team));
            }
            return false;
        }
        counts.countWithheld();
        if (shouldLogRefusal(team, nowMicros)) {
            LOG.info(
                    "withheld the start of {} attempt {} on {} because of tasks without a booking: {}",
                    booking.taskId(),
                    booking.attempt(),
                    booking.machine().name,
                    describeUsage(team));
        }
        return false;
    }

    private boolean shouldLogRefusal(String team, long nowMicros) {
        Long last = lastLoggedMicrosByTeam.get(team);
        boolean shouldLog = last == null || nowMicros - last >= REFUSAL_LOG_INTERVAL_MICROS;
        if (shouldLog) {
            lastLoggedMicrosByTeam.put(team, nowMicros);
        }
        return shouldLog;
    }

    /** Logs the next few starts at info level. */
    public void logFirstStarts() {
        startsToLogAtInfo = FIRST_STARTS_LOGGED;
    }

    /** Counts the start of a task and logs the record and the quota usage that allowed it; after the first at debug. */
    public void recordStart(Booking booking) {
        counts.countStarted();
        Level level = startsToLogAtInfo > 0 ? Level.INFO : Level.DEBUG;
        startsToLogAtInfo = Math.max(0, startsToLogAtInfo - 1);
        if (LOG.isEnabledForLevel(level)) {
            LOG.atLevel(level)
                    .log(
                            "starting {} attempt {} on {}, admission record {}: {}",
                            booking.taskId(),
                            booking.attempt(),
                            booking.machine().name,
                            booking.recordKey(),
                            describeUsage(booking.job().spec().team()));
        }
    }

    private String describeUsage(String team) {
        QuotaUsage usage = cluster.quotaUsage;
        return "team " + team + " uses " + usage.bookedBy(team) + " booked, " + usage.unbookedBy(team)
                + " unbooked and " + cluster.releasedOnRecord(team) + " released on record, limit "
                + quotas.describeLimit(team);
    }
}
