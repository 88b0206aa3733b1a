package org.weldcourse.leader;

import org.weldcourse.placement.WaitReason;
import org.weldcourse.quota.ResourceAmount;

/** Receives the metrics of a leader's term for a scrape of {@code /metrics}. */
public interface LeaderTermMetrics {
    /**
     * Reports the metrics of the term as a whole.
     *
     * @param fencingToken the token that the leader was elected under
     * @param loaded whether the records were restored after the election
     * @param recordsRevision the store's revision as of which the records were restored, or 0 before
     * @param outstandingJobs ended jobs that may still have tasks on machines
     * @param unknownTasks tasks in machines' heartbeats that have no booking
     */
    void reportTerm(long fencingToken, boolean loaded, long recordsRevision, int outstandingJobs, int unknownTasks);

    /**
     * Reports a team's quota usage.
     *
     * @param booked resources of the team's bookings
     * @param unbooked resources that count against the limit without a booking
     * @param released resources of tasks without a booking that admission records still contain
     * @param limit the team's quota limit
     */
    void reportTeam(
            String team, ResourceAmount booked, ResourceAmount unbooked, ResourceAmount released, ResourceAmount limit);

    /**
     * Reports the tasks that wait for the same reason.
     *
     * @param longestSeconds the longest time that one of their jobs has waited for capacity
     */
    void reportWaiting(WaitReason reason, int tasks, double longestSeconds);
}
