package org.weldcourse.quota.ledger;

import java.util.Map;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;

/** What accepting a job has to do with its team's quota: which limit holds, and a reservation out of this node's budget. */
public interface SubmissionQuota {
    /** What the team may use at most, by this node's view. */
    ResourceAmount limit(Settings.Team team);

    /** Reads the team's quota anew and goes on then. */
    void refresh(String team, Runnable then);

    /** A reservation to write with a job, and the versions of the ledger's records on which it has to be written. */
    record Grant(Reservation reservation, Map<String, Long> guards) {
        /** A job that is accepted without a reservation. */
        public static Grant none(String owner) {
            return new Grant(Reservation.none(owner), Map.of());
        }
    }

    /** What to write with a job of so many tasks at the same time, or null where nothing is to be said. */
    Grant reserve(String team, ResourceAmount perTask, int tasks);

    /** The write of this reservation was refused for certain, so that its budget can be used again. */
    void release(String team, ResourceAmount perTask, Reservation reservation);
}
