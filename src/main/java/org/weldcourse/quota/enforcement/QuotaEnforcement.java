package org.weldcourse.quota.enforcement;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.admission.CycleDecisions;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Snapshot.TeamView;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.store.Transaction;
import org.weldcourse.workers.StartAuthorization;

/**
 * Enforces the teams' quota during one leader term: tracks usage, provides the preconditions of admissions, and selects
 * the bookings to stop. The quota comes from the ledger ({@link LedgerQuotaEnforcement}) or from this node's settings
 * ({@link SettingsQuotaEnforcement}).
 *
 * <p>All methods are called on the leader's event loop. Times are in microseconds.
 */
public interface QuotaEnforcement extends StartAuthorization.TeamQuotas {
    /** Starts enforcement at the beginning of the leader term. */
    void begin();

    /** Returns each team's quota and the usage that counts against it, for the admission cycle that begins. */
    List<TeamView> teamViews(long nowMicros);

    /** Returns how many of the job's waiting tasks the team views already count as reserved. */
    int reservedTasks(Job job);

    /** Adds to an admission's transaction the conditions under which the team's quota allows it. */
    void addPreconditions(Transaction admission, Job job);

    /** Handles an admission of the job that was refused because the conditions on these keys failed. */
    void preconditionFailed(Job job, List<Object> keys);

    /** Handles a job record that was read for the first time. */
    void jobLoaded(Job job, Map<String, Object> jobRecord);

    /** Handles the end of a job, when none of its tasks can still be running. */
    void jobEnded(Job job);

    /** Reports that all records of open jobs up to this revision have been read. */
    void openJobsReadUpTo(long revision);

    /** Handles the end of an admission cycle, with the tasks that could not be placed. */
    void cycleEnded(List<CycleDecisions.PendingTasks> waiting, long nowMicros);

    /** Returns the bookings to stop because their team or cohort uses more than its limit. */
    List<Booking> bookingsOverQuota();

    /** Returns whether a limit of the team or of its cohort applies. */
    boolean isLimited(String team);

    /** Returns these teams and all that share a limit with one of them. */
    Set<String> teamsSharingLimits(Set<String> teams);

    /** Returns whether a limit allows the team's usage on record, changed by this amount less. */
    boolean allowsOnRecord(String team, ResourceAmount less);

    /** Returns the team's limit, which may be unlimited. */
    ResourceAmount limit(String team);

    @Override
    default String describeLimit(String team) {
        return limit(team).toString();
    }

    /** Returns the teams and cohorts over their limits, for the status line. Empty if there are none. */
    String status();

    /** Stops enforcement at the end of the leader term. */
    void end();
}
