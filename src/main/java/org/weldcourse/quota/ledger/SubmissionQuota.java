package org.weldcourse.quota.ledger;

import java.util.Map;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;

/** The quota checks at job submission: the limit in force, and reservations from this node's budget. */
public interface SubmissionQuota {
    /** Returns the limit in force for the team according to this node's view. */
    ResourceAmount limit(Settings.Team team);

    /** Reads the team's quota again, then runs the callback. */
    void refresh(String team, Runnable callback);

    /**
     * A reservation to write with a job, and the versions of the quota records on which that write must be conditional.
     */
    record Grant(Reservation reservation, Map<String, Long> guards) {
        /** Returns a grant for a job that is accepted without a reservation. */
        public static Grant none(String owner) {
            return new Grant(Reservation.none(owner), Map.of());
        }
    }

    /**
     * Reserves quota for a job with this number of concurrent tasks. Returns the grant to write with the job, or null
     * if the job's record needs no reservation field.
     */
    Grant reserve(String team, ResourceAmount perTask, int tasks);

    /** Gives a reservation back to the budget after its write was definitely refused. */
    void release(String team, ResourceAmount perTask, Reservation reservation);
}
