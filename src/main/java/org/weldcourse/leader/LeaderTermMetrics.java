package org.weldcourse.leader;

import org.weldcourse.quota.ResourceAmount;

/** Takes what a leader's term has to show to a scrape of {@code /metrics}. */
public interface LeaderTermMetrics {
    /**
     * The term as a whole.
     *
     * @param fencingToken the token that the leader was elected under
     * @param loaded whether the records were read back since the election
     * @param recordsRevision the store's revision as of which they were read, or 0 before
     * @param outstandingJobs jobs that are over but may still have tasks on machines
     * @param unknownTasks tasks in machines' heartbeats that no booking explains
     */
    void reportTerm(long fencingToken, boolean loaded, long recordsRevision, int outstandingJobs, int unknownTasks);

    /** What counts against a team's quota limit, booked and besides, and the limit. */
    void reportTeam(String team, ResourceAmount booked, ResourceAmount notBooked, ResourceAmount limit);
}
