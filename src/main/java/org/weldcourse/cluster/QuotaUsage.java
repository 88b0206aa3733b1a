package org.weldcourse.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.quota.ResourceAmount;

/**
 * The usage that counts against each team's limit: bookings, also of closed jobs; reported tasks without a booking; and
 * tasks that an unreadable record may have admitted. The first two count until the task is known to be gone from its
 * machine. The planner, start authorization and the enforcement of recorded limits all use these figures.
 */
public final class QuotaUsage {
    /** An amount above any limit, used when an unreadable record may have admitted any number of tasks. */
    private static final ResourceAmount ABOVE_ANY_LIMIT = ResourceAmount.of(1e9, 1e9);

    private final Map<String, ResourceAmount> bookedByTeam = new HashMap<>();
    private final Map<String, ResourceAmount> unbookedByTeam = new HashMap<>();
    private final Map<String, ResourceAmount> unreadableByTeam = new HashMap<>();
    private final Set<String> blockedTeams = new HashSet<>();
    private boolean allTeamsBlocked;

    /** Counts a task that was booked. */
    void addBooked(JobSpec spec) {
        bookedByTeam.merge(spec.team(), spec.quotaPerTask(), ResourceAmount::plus);
    }

    /** Subtracts a booked task whose booking was released. */
    void removeBooked(JobSpec spec) {
        bookedByTeam.merge(spec.team(), spec.quotaPerTask(), ResourceAmount::minus);
    }

    /** Counts a task that a machine reports without a booking. */
    void addUnbooked(JobSpec spec) {
        unbookedByTeam.merge(spec.team(), spec.quotaPerTask(), ResourceAmount::plus);
    }

    /** Subtracts an unbooked task that its machine no longer reports. */
    void removeUnbooked(JobSpec spec) {
        unbookedByTeam.merge(spec.team(), spec.quotaPerTask(), ResourceAmount::minus);
    }

    /** Counts tasks of a job whose admission record cannot be read, since they may run on any machine. */
    public void addUnreadable(JobSpec spec, int tasks) {
        unreadableByTeam.merge(spec.team(), spec.quotaPerTask().times(tasks), ResourceAmount::plus);
    }

    /**
     * Raises the usage above any limit because of an unreadable job: that of its team, or of all teams if {@code team}
     * is null (unknown).
     */
    public void blockForUnreadableJob(String team) {
        if (team == null) {
            allTeamsBlocked = true;
        } else {
            blockedTeams.add(team);
        }
    }

    /** The team's booked amount, whether or not the tasks run yet. */
    public ResourceAmount bookedBy(String team) {
        return bookedByTeam.getOrDefault(team, ResourceAmount.ZERO);
    }

    /** The amount that counts against the team's limit without a booking. */
    public ResourceAmount unbookedBy(String team) {
        if (allTeamsBlocked || blockedTeams.contains(team)) {
            return ABOVE_ANY_LIMIT;
        }
        ResourceAmount unbooked = unbookedByTeam.getOrDefault(team, ResourceAmount.ZERO);
        return unbooked.plus(unreadableByTeam.getOrDefault(team, ResourceAmount.ZERO));
    }

    /** The total that counts against the team's limit: booked and unbooked. */
    public ResourceAmount usedBy(String team) {
        return bookedBy(team).plus(unbookedBy(team));
    }
}
