package org.weldcourse.app;

import org.weldcourse.leader.LeaderTermMetrics;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.workers.StartCounts;

/** What one controller shows to a scrape of {@code /metrics}, by the names that operators see. */
final class ControllerMetrics implements LeaderTermMetrics {
    private final MetricsText text = new MetricsText();

    /** Adds what counts whether or not this controller is the leader. */
    void addProcess(boolean leads, StartCounts counts) {
        text.add("leads", "Whether this controller believes to lead.", leads ? 1 : 0);
        text.add("starts_total", "Tasks that were told to run.", counts.started());
        text.add("starts_withheld_total", "Starts that waited for tasks without a booking.", counts.withheld());
        text.add(
                "limit_violations_total",
                "Starts that were refused because a team had more booked than its limit: a fault of the program.",
                counts.violations());
    }

    @Override
    public void reportTerm(
            long fencingToken, boolean loaded, long recordsRevision, int outstandingJobs, int unknownTasks) {
        text.add("token", "The token that this leader's workers obey.", fencingToken);
        text.add("records_loaded", "Whether this leader has read the records.", loaded ? 1 : 0);
        text.add("records_revision", "The revision that the records were read at.", recordsRevision);
        text.add("outstanding_jobs", "Jobs that are over while tasks of them may be on machines.", outstandingJobs);
        text.add("unknown_tasks", "Tasks on machines whose job is not known.", unknownTasks);
    }

    @Override
    public void reportTeam(String team, ResourceAmount booked, ResourceAmount notBooked, ResourceAmount limit) {
        text.addForTeam("team_booked_cpus", "CPUs that the team's bookings take.", team, booked.cpus());
        text.addForTeam("team_booked_gpus", "GPUs that the team's bookings take.", team, booked.gpus());
        text.addForTeam("team_unbooked_cpus", "CPUs that count without a booking.", team, notBooked.cpus());
        text.addForTeam("team_unbooked_gpus", "GPUs that count without a booking.", team, notBooked.gpus());
        text.addForTeam("team_limit_cpus", "The team's limit, +Inf for none.", team, orInfinity(limit.cpuLimit()));
        text.addForTeam("team_limit_gpus", "The team's limit, +Inf for none.", team, orInfinity(limit.gpuLimit()));
    }

    private static double orInfinity(double limit) {
        return limit > 0 ? limit : Double.POSITIVE_INFINITY;
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
