package org.weldcourse.admission;

import org.weldcourse.quota.Amount;

/** Takes what a term has to show to a scrape. */
public interface TermMetrics {
    /** The term as a whole. */
    void term(long token, boolean loaded, long recordsRevision, int outstandingJobs, int unknownTasks);

    /** What counts against a team's limit, booked and besides, and the limit. */
    void team(String team, Amount booked, Amount notBooked, Amount limit);
}
