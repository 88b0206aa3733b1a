package org.weldcourse.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.quota.ResourceAmount;

/**
 * What counts against each team's limit, each until there is evidence that nothing of it is left: bookings, also of jobs that
 * are over; tasks on machines that no booking explains; and what a record that can't be read may have admitted. Planner,
 * starts and limits on record all ask here.
 */
public final class QuotaUsage {
    /** More than any limit, where a record can't be read and nobody knows how much it admitted. */
    private static final ResourceAmount ANY_AMOUNT = ResourceAmount.of(1e9, 1e9);

    private final Map<String, ResourceAmount> bookedByTeam = new HashMap<>();
    private final Map<String, ResourceAmount> unbookedByTeam = new HashMap<>();
    private final Map<String, ResourceAmount> unreadableByTeam = new HashMap<>();
    private final Set<String> fullTeams = new HashSet<>();
    private boolean allTeamsFull;

    /** A task was booked. */
    void addBooked(JobSpec spec) {
        bookedByTeam.merge(spec.team(), spec.quotaPerTask(), ResourceAmount::plus);
    }

    /** There is evidence that nothing is left of a booked task. */
    void removeBooked(JobSpec spec) {
        bookedByTeam.merge(spec.team(), spec.quotaPerTask(), ResourceAmount::minus);
    }

    /** A machine lists a task that no booking explains. */
    void addUnbooked(JobSpec spec) {
        unbookedByTeam.merge(spec.team(), spec.quotaPerTask(), ResourceAmount::plus);
    }

    /** A machine lists such a task no more. */
    void removeUnbooked(JobSpec spec) {
        unbookedByTeam.merge(spec.team(), spec.quotaPerTask(), ResourceAmount::minus);
    }

    /** So many tasks of a job may be anywhere: what was admitted of it can't be read. */
    public void addUnreadable(JobSpec spec, int tasks) {
        unreadableByTeam.merge(spec.team(), spec.quotaPerTask().times(tasks), ResourceAmount::plus);
    }

    /** Tasks of a job that can't be read were admitted; {@code team} is null where not even that is known. */
    public void blockForUnreadableJob(String team) {
        if (team == null) {
            allTeamsFull = true;
        } else {
            fullTeams.add(team);
        }
    }

    /** What the team's bookings take, whether or not their tasks run yet. */
    public ResourceAmount bookedBy(String team) {
        return bookedByTeam.getOrDefault(team, ResourceAmount.ZERO);
    }

    /** What counts against the team's limit without being booked. */
    public ResourceAmount unbookedBy(String team) {
        if (allTeamsFull || fullTeams.contains(team)) {
            return ANY_AMOUNT;
        }
        ResourceAmount unbooked = unbookedByTeam.getOrDefault(team, ResourceAmount.ZERO);
        return unbooked.plus(unreadableByTeam.getOrDefault(team, ResourceAmount.ZERO));
    }

    /** All that counts against the team's limit. */
    public ResourceAmount usedBy(String team) {
        return bookedBy(team).plus(unbookedBy(team));
    }
}
