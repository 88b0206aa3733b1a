package org.weldcourse.quota.enforcement;

import java.util.List;
import java.util.Map;
import org.weldcourse.admission.CycleDecisions;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Snapshot.TeamView;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.store.Transaction;
import org.weldcourse.workers.StartAuthorization;

/**
 * The teams' quota during one leader term: what of it is used, what may be admitted and on which conditions, and what has to
 * stop. The quota comes from the ledger ({@link LedgerQuotaEnforcement}) or from this node's settings
 * ({@link SettingsQuotaEnforcement}). All methods are called on the leader's event loop; times are microseconds.
 */
public interface QuotaEnforcement extends StartAuthorization.TeamQuotas {
    /** The term begins. */
    void begin();

    /** Each team's quota and what counts against it, for the admission cycle that begins. */
    List<TeamView> teamViews(long nowMicros);

    /** How many of the job's waiting tasks are counted already in the views, as reserved. */
    int reservedTasks(Job job);

    /** Adds to the write of an admission the conditions under which the team's quota allows it. */
    void addPreconditions(Transaction admission, Job job);

    /** An admission of the job was refused, since the condition on each of these keys did not hold. */
    void preconditionFailed(Job job, List<Object> keys);

    /** The job's record was read for the first time. */
    void jobLoaded(Job job, Map<String, Object> jobRecord);

    /** The job is over, and nothing of it is left. */
    void jobEnded(Job job);

    /** All records of open jobs up to this revision were read. */
    void openJobsReadUpTo(long revision);

    /** The cycle is over, and these found no room. */
    void cycleEnded(List<CycleDecisions.PendingTasks> waiting, long nowMicros);

    /** Bookings to stop, since their team or cohort runs more than its limit. */
    List<Booking> bookingsOverQuota();

    /** The team's limit, or one that limits nothing. */
    ResourceAmount limit(String team);

    @Override
    default String describeLimit(String team) {
        return limit(team).toString();
    }

    /** Which teams are above their limits, for the status line; empty when none is. */
    String status();

    /** The term is over. */
    void end();
}
